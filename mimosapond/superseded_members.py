"""Counts the members that left a held term for a higher one.

A member's term only rises, so a member counted once can never again take
part in a check of the held term.
"""

from collections.abc import Callable
from typing import final

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.standing import Standing


@final
class SupersededMembers:
    """Detects that a held term can't be confirmed any more."""

    def __init__(
        self,
        group: GroupSpec,
        view: GroupView,
        on_superseded: Callable[[int], None],
    ) -> None:
        """Call ``on_superseded`` with the newer term, at most once."""
        self._view = view
        self._needed_count = group.majority_count - 1
        self._others = {
            member.name
            for member in group.members
            if member.name != view.primary
        }
        self._gone: set[str] = set()
        self._on_superseded = on_superseded
        self.is_superseded = False

    def note(self, standing: Standing | None) -> None:
        """Take a member's report of its own term."""
        if standing is None or standing.term <= self._view.term:
            return
        self._gone.add(standing.member)
        is_lost = self._view.primary in self._gone
        if len(self._others - self._gone) < self._needed_count:
            is_lost = True
        if is_lost and not self.is_superseded:
            self.is_superseded = True
            self._on_superseded(standing.term)
