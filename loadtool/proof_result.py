"""Result of a proof run and its report."""

import collections
from collections.abc import Iterator, Mapping, Sequence
from typing import Final, final

import attrs

from loadtool.history import History
from loadtool.history_record import HistoryRecord
from loadtool.proof_fault import InjectedFault
from loadtool.violation import Violation

_MIN_WRITES_PER_S: Final = 2
_MAX_SHOWN_VIOLATION_COUNT: Final = 20


@final
@attrs.frozen
class ProofResult:
    """Injected faults, recorded history and violations of one seed.

    Attributes
    ----------
    begin_s, end_s
        Monotonic times at which the callers started and were stopped.
    lost_count
        Number of acknowledged writes of durability ``primary`` that a change
        of primary lost.
    newest_terms
        Highest term that a majority has adopted, by group.
    unexpected_exits
        Names of the processes that ended without an injected fault.
    """

    seed: int
    duration_s: float
    begin_s: float
    end_s: float
    history: History
    faults: Sequence[InjectedFault]
    lost_count: int
    newest_terms: Mapping[str, int]
    violations: Sequence[Violation]
    unexpected_exits: Sequence[str] = ()

    @property
    def inconclusive_reason(self) -> str:
        """Reason why the run is not conclusive; empty if it is."""
        if self.unexpected_exits:
            return f'unexpected exits: {", ".join(self.unexpected_exits)}'
        acknowledged_count = sum(
            one.is_acknowledged for one in self.history.records
        )
        if acknowledged_count < _MIN_WRITES_PER_S * self.duration_s:
            return f'only {acknowledged_count} writes were acknowledged'
        failed = [one for one in self.faults if not one.has_taken]
        if failed:
            names = ', '.join(f'{one.kind} {one.subject}' for one in failed)
            return f'faults were not observed to take effect: {names}'
        return '' if self.faults else 'no fault was injected'

    @property
    def is_passed(self) -> bool:
        """Whether the run is conclusive and found no violation."""
        return not self.violations and not self.inconclusive_reason

    def lines(self) -> Iterator[str]:
        """Return the lines of the report."""
        yield f'seed {self.seed}, {self.duration_s:.0f} s'
        for fault in sorted(self.faults, key=lambda one: one.begin_s):
            yield self._fault_line(fault)
        yield from self._counts()
        yield f'terms: {dict(self.newest_terms)}'
        yield f'writes lost by a change of primary: {self.lost_count}'
        for group, gap_s in self._write_gaps_s().items():
            yield f'longest write gap of {group}: {gap_s:.2f} s'
        for violation in self.violations[:_MAX_SHOWN_VIOLATION_COUNT]:
            yield f'VIOLATION {violation.rule.value}: {violation.subject}'
            yield from (
                f'  {self._record_line(one)}' for one in violation.requests
            )
        yield f'{len(self.violations)} violations'
        if self.inconclusive_reason:
            yield f'NOTHING PROVED: {self.inconclusive_reason}'

    def _fault_line(self, fault: InjectedFault) -> str:
        offset_s = fault.begin_s - self.begin_s
        duration_s = fault.end_s - fault.begin_s
        effect = '' if fault.has_taken else ' (not observed to take effect)'
        return (
            f'{offset_s:7.2f} s  {fault.kind} {fault.subject} '
            f'for {duration_s:.1f} s{effect}'
        )

    def _record_line(self, one: HistoryRecord) -> str:
        begin_offset_s = one.sent_s - self.begin_s
        end_offset_s = one.answered_s - self.begin_s
        return f'{begin_offset_s:.3f} to {end_offset_s:.3f} s: {one}'

    def _counts(self) -> Iterator[str]:
        counts = collections.Counter(
            (str(one.kind), str(one.outcome)) for one in self.history.records
        )
        for (kind, outcome), count in sorted(counts.items()):
            yield f'{kind} {outcome}: {count}'

    def _write_gaps_s(self) -> dict[str, float]:
        times: dict[str, list[float]] = collections.defaultdict(list)
        for one in self.history.records:
            if one.is_acknowledged and one.answered_s < self.end_s:
                times[one.group].append(one.answered_s)
        return {
            group: max(
                (
                    later - earlier
                    for earlier, later in _pairs(sorted(answered))
                ),
                default=0,
            )
            for group, answered in sorted(times.items())
        }


def _pairs(times: Sequence[float]) -> Iterator[tuple[float, float]]:
    return zip(times, times[1:], strict=False)
