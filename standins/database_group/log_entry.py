"""Entries of the log that the members replicate."""

from typing import final

import attrs


@final
@attrs.frozen
class KeptWrite:
    """One write of a commit, with the request that made it."""

    request_id: str
    item: str
    content: str


@final
@attrs.define(eq=False)
class LogEntry:
    """A commit; the members of a group share one object per commit.

    Attributes
    ----------
    term, number
        Position of the commit in the log.
    primary_id
        Member that made the commit.
    is_acknowledged
        Whether the caller was told that the commit succeeded.
    acknowledged_s
        Time at which the caller was told, on the monotonic clock.
    receiver_ids
        Replicas in the order in which they received the commit. One of them may
        have left or lost its log since.
    """

    term: int
    number: int
    writes: tuple[KeptWrite, ...]
    primary_id: str = ''
    is_acknowledged: bool = False
    acknowledged_s: float = 0
    receiver_ids: list[str] = attrs.field(factory=list)
