"""What the callers were told about each request id, over all its tries."""

import collections
import enum
from collections.abc import Iterable, Mapping
from typing import Final, final

from loadtool.history_record import HistoryRecord, RequestKind, Result

_CANCELLED: Final = 'request_cancelled'


@final
class Claim(enum.Enum):
    """What all answers together say.

    A refusal speaks of its own try: after another try with an unknown outcome
    only a cancellation says that the request did not run.
    """

    SETTLED = enum.auto()
    CANCELLED = enum.auto()
    ACKNOWLEDGED = enum.auto()
    ROLLED_BACK = enum.auto()
    REFUSED = enum.auto()
    OPEN = enum.auto()


@final
class Claims:
    """Records of writes, with their settlements, by mark."""

    def __init__(self, records: Iterable[HistoryRecord]) -> None:
        """Group the records of one database group."""
        marks: dict[str, list[HistoryRecord]] = collections.defaultdict(list)
        for one in records:
            if one.kind is not RequestKind.READ:
                marks[one.mark].append(one)
        self.by_mark: Mapping[str, tuple[HistoryRecord, ...]] = {
            mark: tuple(known) for mark, known in marks.items()
        }

    def claim(self, mark: str) -> Claim:
        """Return what was said about the request with ``mark``."""
        known = self.by_mark.get(mark, ())
        if any(one.reason == _CANCELLED for one in known):
            return Claim.CANCELLED
        if any(_is_settled(one) for one in known):
            return Claim.SETTLED
        tries = [one.outcome for one in known if one.is_write]
        if Result.COMPLETED in tries:
            return Claim.ACKNOWLEDGED
        if Result.UNKNOWN in tries or not tries:
            return Claim.OPEN
        if Result.ROLLED_BACK in tries:
            return Claim.ROLLED_BACK
        return Claim.REFUSED

    def did_not_run(self, mark: str) -> bool:
        """Tell whether the callers were told that it had no effect."""
        return self.claim(mark) in {
            Claim.CANCELLED,
            Claim.ROLLED_BACK,
            Claim.REFUSED,
        }


def _is_settled(one: HistoryRecord) -> bool:
    return one.kind is RequestKind.SETTLE and one.outcome is Result.COMPLETED
