"""Commits in the log of a group."""

from typing import final

import attrs


@final
@attrs.frozen
class KeptWrite:
    """One write of a commit."""

    request_id: str
    item: str
    content: str


@final
@attrs.define(eq=False)
class LogEntry:
    """A commit; the members of a group share the object."""

    term: int
    number: int
    writes: tuple[KeptWrite, ...]
    is_acknowledged: bool = False
