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

    def leads_as(self, earlier: 'MemberStatus') -> bool:
        """Return whether a primary still leads in the term it had before."""
        return self.is_primary and self.term == earlier.term

    def has_log_of(self, primary: 'MemberStatus') -> bool:
        """Return whether a replica has the log that a primary reported before.

        A primary without a commit of its own term reports where its term
        began, and each commit of that term comes after it.
        """
        is_at_start = primary.received.term < primary.term
        if is_at_start and self.received.term == primary.term:
            return True
        return self.received.includes(primary.received)
