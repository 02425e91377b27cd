"""Checks what reads showed: own writes, age and whole transactions."""

import bisect
import collections
import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import Final, final

from loadtool.history_claims import Claims
from loadtool.history_record import HistoryRecord, RequestKind, Result
from loadtool.surviving_log import SurvivingLog
from loadtool.violation import Rule, Violation

_MS_PER_S: Final = 1000
_LOST: Final = 'session_write_lost'


@final
class _Acknowledged:
    """Surviving writes of one session: the newest at any time."""

    def __init__(self, writes: Sequence[HistoryRecord]) -> None:
        ordered = sorted(writes, key=lambda one: one.answered_s)
        self._times = [one.answered_s for one in ordered]
        self._newest = list(
            itertools.accumulate(ordered, _newer),
        )

    def before(self, limit_s: float) -> HistoryRecord | None:
        """Return the newest write acknowledged before ``limit_s``."""
        count = bisect.bisect_left(self._times, limit_s)
        return self._newest[count - 1] if count else None


@final
class ReadChecker:
    """Reads of one database group.

    Writes that a change of primary lost are not expected in reads.
    """

    def __init__(
        self,
        log: SurvivingLog,
        claims: Claims,
        records: Sequence[HistoryRecord],
    ) -> None:
        """Take all records of the group."""
        self._log = log
        self._claims = claims
        self._reads = [one for one in records if one.kind is RequestKind.READ]
        self._acknowledged = _by_session(log, records)
        self._tokens = {
            one.token: one for one in records if one.is_acknowledged
        }

    def violations(self) -> Iterator[Violation]:
        """Check each read."""
        for read in self._reads:
            if read.outcome is Result.COMPLETED:
                yield from self._check_own_write(read)
                yield from self._check_age(read)
                yield from self._check_whole(read)
            elif read.reason == _LOST:
                yield from self._check_loss(read)

    def _check_own_write(self, read: HistoryRecord) -> Iterator[Violation]:
        own = self._acknowledged.get(read.session)
        is_bound = read.by_session or read.sent_token is not None
        if own is None or not is_bound:
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

    def _check_whole(self, read: HistoryRecord) -> Iterator[Violation]:
        if len(set(read.pair)) > 1:
            yield Violation(Rule.TORN, str(read.pair), (read,))
        for mark in set(read.pair):
            if self._claims.did_not_run(mark):
                known = self._claims.by_mark[mark]
                yield Violation(Rule.DIRTY_READ, mark, (*known, read))

    def _check_loss(self, read: HistoryRecord) -> Iterator[Violation]:
        write = self._tokens.get(read.sent_token)
        if write is not None and self._log.has_mark(write.mark):
            yield Violation(Rule.FALSE_LOSS, write.mark, (write, read))


def _by_session(
    log: SurvivingLog,
    records: Iterable[HistoryRecord],
) -> dict[str, _Acknowledged]:
    writes: dict[str, list[HistoryRecord]] = collections.defaultdict(list)
    for one in records:
        if one.is_acknowledged and log.has_mark(one.mark):
            writes[one.session].append(one)
    return {name: _Acknowledged(known) for name, known in writes.items()}


def _newer(first: HistoryRecord, second: HistoryRecord) -> HistoryRecord:
    return first if first.sequence > second.sequence else second


def _misses(read: HistoryRecord, write: HistoryRecord) -> bool:
    return read.sequences.get(write.session, 0) < write.sequence
