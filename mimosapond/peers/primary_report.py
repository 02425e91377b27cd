"""What another host knows of the primary of a group."""

from typing import final

import attrs

from mimosapond.groups.log_position import LogPosition


@final
@attrs.frozen
class PrimaryReport:
    """A primary that a peer has confirmed, and its log position.

    Parameters
    ----------
    age_s
        Time since the peer sent the primary the request that returned the
        position.
    """

    member_id: str
    position: LogPosition
    age_s: float
