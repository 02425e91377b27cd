"""Replication status that a member reports."""

from typing import final

import attrs

from mimosapond.groups.log_position import LogPosition


@final
@attrs.frozen
class MemberStatus:
    """Role and replication progress of a member.

    Parameters
    ----------
    received
        Last position in its log, whether applied or not.
    paused_term
        Term for which the member has paused receiving; 0 if it is receiving.
    """

    is_primary: bool
    term: int
    received: LogPosition
    paused_term: int
