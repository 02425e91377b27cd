"""One process of a member of a database group."""

from typing import Final, final

import attrs

# Start of a process whose member does not tell it.
UNKNOWN_START_MS: Final = 0


@final
@attrs.frozen(order=True)
class MemberProcess:
    """A process of a member, from its start to its end.

    A member may start again under its id, with or without its log. What is
    known of one process does not hold for another one.

    Parameters
    ----------
    member_id
        Id under which the member is registered.
    born_ms
        Start of the process in Unix milliseconds, as the member tells it;
        ``UNKNOWN_START_MS`` if it does not.
    """

    member_id: str
    born_ms: int = UNKNOWN_START_MS
