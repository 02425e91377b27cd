"""Replication state that a member reports."""

from typing import final

import attrs

from mimosapond.groups.log_position import LogPosition


@final
@attrs.frozen
class MemberStatus:
    """Role and log of a member.

    Parameters
    ----------
    received
        Newest position in its log, whether applied or not.
    paused_term
        Term of the pause of receiving; 0 if it receives.
    """

    is_primary: bool
    term: int
    received: LogPosition
    paused_term: int
