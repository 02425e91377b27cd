"""Record of a promotion and of the acknowledged commits that it lost."""

from typing import Self, final

import attrs

from standins.database_group.log_entry import LogEntry
from standins.database_group.member_log import position_text
from standins.database_group.promotion_call import PromotionCall


@final
@attrs.frozen
class LostCommit:
    """Acknowledged commit that the log of a promoted member lacks.

    Attributes
    ----------
    request_ids
        Requests of its writes.
    acknowledged_s
        Time at which the member acknowledged it, on the monotonic clock. A
        host may have reported another outcome to its caller.
    receiver_ids, holder_ids
        Members that had received it since it was made, and members that had it
        when the promotion took effect.
    """

    request_ids: tuple[str, ...]
    position: str
    primary_id: str
    acknowledged_s: float
    receiver_ids: tuple[str, ...]
    holder_ids: tuple[str, ...]

    @classmethod
    def from_entry(cls, entry: LogEntry, holder_ids: tuple[str, ...]) -> Self:
        """Describe an entry of the log."""
        return cls(
            tuple(write.request_id for write in entry.writes),
            position_text((entry.term, entry.number)),
            entry.primary_id,
            entry.acknowledged_s,
            tuple(entry.receiver_ids),
            holder_ids,
        )


@final
@attrs.frozen
class PromotionRecord:
    """A promotion that took effect.

    Attributes
    ----------
    effect_s
        Time at which the member began to lead, on the monotonic clock.
    term, position
        Term that began, and the last position of the log that it began with.
    """

    call: PromotionCall
    effect_s: float
    term: int
    position: str
    lost: tuple[LostCommit, ...]
