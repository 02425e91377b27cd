"""Body of the call with which a primary ships its log."""

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
        Term of the sender, the asker that holds it, and the sender's name.
    previous_term, previous_position
        The entry that the receiver must already hold.
    """

    term: int
    granted_to: str | None
    primary: str
    previous_term: int
    previous_position: int
    entries: tuple[LogEntry, ...] = ()
