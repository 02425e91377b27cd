"""Checks reads for own writes, data age and atomic transactions."""

import bisect
import collections
import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import Final, final

from loadtool.reported_outcomes import ReportedOutcomes
from loadtool.history_record import HistoryRecord, RequestKind, Result
from loadtool.surviving_log import SurvivingLog
from loadtool.violation import Rule, Violation

_MS_PER_S: Final = 1000
_WRITE_LOST_REASON: Final = 'session_write_lost'


@final
class _AcknowledgedWrites:
    """Finds the newest surviving write of a session at a given time."""

    def __init__(self, writes: Sequence[HistoryRecord]) -> None:
        ordered = sorted(writes, key=lambda record: record.answered_s)
        self._times = [record.answered_s for record in ordered]
        self._newest = list(
            itertools.accumulate(ordered, _newer),
        )

    def before(self, limit_s: float) -> HistoryRecord | None:
        """Return the newest write acknowledged before ``limit_s``, if any."""
        count = bisect.bisect_left(self._times, limit_s)
        return self._newest[count - 1] if count else None


@final
class ReadChecker:
    """Checks the reads of one database group.

    Reads need not show acknowledged writes that a change of primary lost.
    """

    def __init__(
        self,
        log: SurvivingLog,
        reported: ReportedOutcomes,
        records: Sequence[HistoryRecord],
    ) -> None:
        """Check the reads among ``records``, which belong to one group."""
        self._log = log
        self._reported = reported
        self._reads = [
            record for record in records if record.kind is RequestKind.READ
        ]
        self._acknowledged = _acknowledged_by_session(log, records)
        self._writes_by_token = {
            record.token: record for record in records if record.is_acknowledged
        }

    def violations(self) -> Iterator[Violation]:
        """Check each read and return what it violates."""
        for read in self._reads:
            if read.outcome is Result.COMPLETED:
                yield from self._check_own_write(read)
                yield from self._check_age(read)
                yield from self._check_atomicity(read)
            elif read.reason == _WRITE_LOST_REASON:
                yield from self._check_reported_loss(read)

    def _check_own_write(self, read: HistoryRecord) -> Iterator[Violation]:
        own = self._acknowledged.get(read.session)
        names_session = read.by_session or read.sent_token is not None
        if own is None or not names_session:
            return
        write = own.before(read.sent_s)
        if write is not None and _misses(read, write):
            yield Violation(Rule.OWN_WRITE, read.session, (write, read))

    def _check_age(self, read: HistoryRecord) -> Iterator[Violation]:
        bounds = (
            (Rule.STALE, read.max_age_ms or 0),
            (Rule.WRONG_AGE, read.data_age_ms),
        )
        for rule, age_ms in bounds:
            write = self._missed_write(read, age_ms)
            if write is not None:
                yield Violation(rule, f'{age_ms} ms', (write, read))

    def _missed_write(
        self,
        read: HistoryRecord,
        age_ms: int,
    ) -> HistoryRecord | None:
        limit_s = read.sent_s - age_ms / _MS_PER_S
        for acknowledged in self._acknowledged.values():
            write = acknowledged.before(limit_s)
            if write is not None and _misses(read, write):
                return write
        return None

    def _check_atomicity(self, read: HistoryRecord) -> Iterator[Violation]:
        if len(set(read.pair)) > 1:
            yield Violation(Rule.TORN, str(read.pair), (read,))
        for mark in set(read.pair):
            if self._reported.did_not_run(mark):
                writes = self._reported.by_mark[mark]
                yield Violation(Rule.DIRTY_READ, mark, (*writes, read))

    def _check_reported_loss(self, read: HistoryRecord) -> Iterator[Violation]:
        write = self._writes_by_token.get(read.sent_token)
        if write is not None and self._log.has_mark(write.mark):
            yield Violation(Rule.FALSE_LOSS, write.mark, (write, read))


def _acknowledged_by_session(
    log: SurvivingLog,
    records: Iterable[HistoryRecord],
) -> dict[str, _AcknowledgedWrites]:
    writes: dict[str, list[HistoryRecord]] = collections.defaultdict(list)
    for record in records:
        if record.is_acknowledged and log.has_mark(record.mark):
            writes[record.session].append(record)
    return {name: _AcknowledgedWrites(known) for name, known in writes.items()}


def _newer(first: HistoryRecord, second: HistoryRecord) -> HistoryRecord:
    return first if first.sequence > second.sequence else second


def _misses(read: HistoryRecord, write: HistoryRecord) -> bool:
    return read.sequences.get(write.session, 0) < write.sequence
