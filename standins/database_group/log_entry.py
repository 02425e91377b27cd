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
    is_acknowledged
        Whether the caller was told that the commit succeeded.
    """

    term: int
    number: int
    writes: tuple[KeptWrite, ...]
    is_acknowledged: bool = False
