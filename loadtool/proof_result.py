"""What one proof run found, and its text."""

import collections
from collections.abc import Iterator, Mapping, Sequence
from typing import Final, final

import attrs

from loadtool.history import History
from loadtool.history_record import HistoryRecord
from loadtool.proof_fault import MetFault
from loadtool.violation import Violation

_LEAST_WRITES_PER_S: Final = 2
_SHOWN_COUNT: Final = 20


@final
@attrs.frozen
class ProofResult:
    """Faults met, counts and violations of one seed.

    Attributes
    ----------
    begin_s, end_s
        Monotonic times at which the callers began and were stopped.
    lost_count
        Acknowledged ``primary`` writes lost by a change of primary.
    term_counts
        Newest term by group.
    fallen
        Processes that ended although nothing ended them.
    """

    seed: int
    duration_s: float
    begin_s: float
    end_s: float
    history: History
    faults: Sequence[MetFault]
    lost_count: int
    term_counts: Mapping[str, int]
    violations: Sequence[Violation]
    fallen: Sequence[str] = ()

    @property
    def missing_proof(self) -> str:
        """Say why the run proves nothing; empty when it does."""
        if self.fallen:
            return f'processes ended: {", ".join(self.fallen)}'
        written = sum(one.is_acknowledged for one in self.history.records)
        if written < _LEAST_WRITES_PER_S * self.duration_s:
            return f'only {written} writes were acknowledged'
        failed = [one for one in self.faults if not one.has_taken]
        if failed:
            names = ', '.join(f'{one.kind} {one.subject}' for one in failed)
            return f'faults did not take: {names}'
        return '' if self.faults else 'no fault was met'

    @property
    def is_passed(self) -> bool:
        """Whether the run proved something and found nothing."""
        return not self.violations and not self.missing_proof

    def lines(self) -> Iterator[str]:
        """Return the report line by line."""
        yield f'seed {self.seed}, {self.duration_s:.0f} s'
        for fault in sorted(self.faults, key=lambda one: one.begin_s):
            yield self._fault_line(fault)
        yield from self._counts()
        yield f'terms: {dict(self.term_counts)}'
        yield f'primary writes lost by a change: {self.lost_count}'
        for group, gap_s in self._gaps().items():
            yield f'longest write gap of {group}: {gap_s:.2f} s'
        for violation in self.violations[:_SHOWN_COUNT]:
            yield f'VIOLATION {violation.rule.value}: {violation.subject}'
            yield from (
                f'  {self._record_line(one)}' for one in violation.requests
            )
        yield f'{len(self.violations)} violations'
        if self.missing_proof:
            yield f'NOTHING PROVED: {self.missing_proof}'

    def _fault_line(self, fault: MetFault) -> str:
        since_s = fault.begin_s - self.begin_s
        took_s = fault.end_s - fault.begin_s
        taken = '' if fault.has_taken else ' (did not take)'
        return (
            f'{since_s:7.2f} s  {fault.kind} {fault.subject} '
            f'for {took_s:.1f} s{taken}'
        )

    def _record_line(self, one: HistoryRecord) -> str:
        began_s = one.sent_s - self.begin_s
        ended_s = one.answered_s - self.begin_s
        return f'{began_s:.3f} to {ended_s:.3f} s: {one}'

    def _counts(self) -> Iterator[str]:
        counts = collections.Counter(
            (str(one.kind), str(one.outcome)) for one in self.history.records
        )
        for (kind, outcome), count in sorted(counts.items()):
            yield f'{kind} {outcome}: {count}'

    def _gaps(self) -> dict[str, float]:
        times: dict[str, list[float]] = collections.defaultdict(list)
        for one in self.history.records:
            if one.is_acknowledged and one.answered_s < self.end_s:
                times[one.group].append(one.answered_s)
        return {
            group: max(
                (later - earlier for earlier, later in _pairs(sorted(known))),
                default=0,
            )
            for group, known in sorted(times.items())
        }


def _pairs(times: Sequence[float]) -> Iterator[tuple[float, float]]:
    return zip(times, times[1:], strict=False)
