"""The log position of a held term that a majority is known to hold.

A primary that is cut off may hold entries beyond it. They are truncated when
another primary leads, so a read must not show them without a confirmed term.
"""

from typing import final

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.standing import Standing


@final
class ReplicatedPosition:
    """Learns from the standings that replicas report."""

    def __init__(self, group: GroupSpec, view: GroupView) -> None:
        """Start without any report."""
        self._view = view
        self._needed_count = group.majority_count - 1
        self._matched = {
            member.name: 0
            for member in group.members
            if member.name != view.primary
        }

    def note(self, standing: Standing) -> None:
        """Take a report; others than replicas of the held term say nothing."""
        known = self._matched.get(standing.member)
        if known is None or standing.term != self._view.term:
            return
        self._matched[standing.member] = max(known, standing.matched_position)

    def covers(self, position: int) -> bool:
        """Return whether a majority is known to hold ``position``."""
        holder_count = sum(
            position <= matched for matched in self._matched.values()
        )
        return holder_count >= self._needed_count
