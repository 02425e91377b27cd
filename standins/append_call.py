"""Body of the call by which a primary ships log entries."""

from typing import final

import attrs

from standins.log_entry import LogEntry


@final
@attrs.frozen
class AppendCall:
    """Entries that follow ``previous_position`` in the primary's log.

    Attributes
    ----------
    term, granted_to, primary
        Term of the sender, the asker to which it was granted, and the name of
        the sender.
    previous_term, previous_position
        Term and position of the entry that the receiver must already hold;
        position 0 stands for the start of the log.
    """

    term: int
    granted_to: str | None
    primary: str
    previous_term: int
    previous_position: int
    entries: tuple[LogEntry, ...] = ()
