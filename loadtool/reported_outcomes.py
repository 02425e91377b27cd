"""Outcomes that callers were told for each write, over all its attempts."""

import collections
import enum
from collections.abc import Iterable, Mapping
from typing import Final, final

from loadtool.history_record import HistoryRecord, RequestKind, Result

_CANCELLED: Final = 'request_cancelled'


@final
class ReportedOutcome(enum.Enum):
    """Outcome of a write that follows from all answers about it.

    A refusal covers only its own attempt: if another attempt has an unknown
    outcome, only a cancellation shows that the request did not run.
    """

    SETTLED = enum.auto()
    CANCELLED = enum.auto()
    ACKNOWLEDGED = enum.auto()
    ROLLED_BACK = enum.auto()
    REFUSED = enum.auto()
    OPEN = enum.auto()


@final
class ReportedOutcomes:
    """Records of writes and of their outcome queries, grouped by mark.

    Attributes
    ----------
    by_mark
        Records of each write in recording order.
    """

    def __init__(self, records: Iterable[HistoryRecord]) -> None:
        """Group ``records``, which belong to one group, by mark."""
        grouped: dict[str, list[HistoryRecord]] = collections.defaultdict(list)
        for record in records:
            if record.kind is not RequestKind.READ:
                grouped[record.mark].append(record)
        self.by_mark: Mapping[str, tuple[HistoryRecord, ...]] = {
            mark: tuple(tries) for mark, tries in grouped.items()
        }

    def reported_outcome(self, mark: str) -> ReportedOutcome:
        """Return the outcome that follows from all answers for ``mark``.

        It is ``OPEN`` for a mark without records.
        """
        records = self.by_mark.get(mark, ())
        if any(record.reason == _CANCELLED for record in records):
            return ReportedOutcome.CANCELLED
        if any(_is_settled(record) for record in records):
            return ReportedOutcome.SETTLED
        outcomes = [record.outcome for record in records if record.is_write]
        if Result.COMPLETED in outcomes:
            return ReportedOutcome.ACKNOWLEDGED
        if Result.UNKNOWN in outcomes or not outcomes:
            return ReportedOutcome.OPEN
        if Result.ROLLED_BACK in outcomes:
            return ReportedOutcome.ROLLED_BACK
        return ReportedOutcome.REFUSED

    def did_not_run(self, mark: str) -> bool:
        """Tell whether callers were told that the write had no effect."""
        return self.reported_outcome(mark) in {
            ReportedOutcome.CANCELLED,
            ReportedOutcome.ROLLED_BACK,
            ReportedOutcome.REFUSED,
        }


def _is_settled(record: HistoryRecord) -> bool:
    return (
        record.kind is RequestKind.SETTLE and record.outcome is Result.COMPLETED
    )
