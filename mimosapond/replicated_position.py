"""Tracks which log positions of a held term a majority holds.

A primary that is cut off may hold entries that no majority holds. Another
primary's log replaces them, so a read must not return them unless the term is
confirmed.
"""

from typing import final

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.standing import Standing


@final
class ReplicatedPosition:
    """Keeps the highest matched position that each replica reported."""

    def __init__(self, group: GroupSpec, view: GroupView) -> None:
        """Start with position 0 for each replica."""
        self._view = view
        self._needed_count = group.majority_count - 1
        self._matched = {
            member.name: 0
            for member in group.members
            if member.name != view.primary
        }

    def note(self, standing: Standing) -> None:
        """Process a report; only replicas at the held term are counted."""
        known = self._matched.get(standing.member)
        if known is None or standing.term != self._view.term:
            return
        self._matched[standing.member] = max(known, standing.matched_position)

    def covers(self, position: int) -> bool:
        """Return whether a majority is known to hold ``position``."""
        matching_count = sum(
            position <= matched for matched in self._matched.values()
        )
        return matching_count >= self._needed_count
