"""Counts the members that left a held term for a higher one.

The term of a member never decreases, so a member that left the held term cannot
confirm it any more.
"""

from collections.abc import Callable
from typing import final

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.standing import Standing


@final
class SupersededMembers:
    """Detects that a majority can no longer confirm a held term."""

    def __init__(
        self,
        group: GroupSpec,
        view: GroupView,
        on_superseded: Callable[[int], None],
    ) -> None:
        """Watch the term of ``view``.

        Parameters
        ----------
        group
            The group with its members.
        view
            View of the held term.
        on_superseded
            Called once with a higher term when the held term can no longer be
            confirmed, because its primary or a majority left it.
        """
        self._view = view
        self._needed_count = group.majority_count - 1
        self._others = {
            member.name
            for member in group.members
            if member.name != view.primary
        }
        self._left: set[str] = set()
        self._on_superseded = on_superseded
        self.is_superseded = False

    def note(self, standing: Standing | None) -> None:
        """Count the member of ``standing`` if it reports a higher term."""
        if standing is None or standing.term <= self._view.term:
            return
        self._left.add(standing.member)
        is_lost = self._view.primary in self._left
        if len(self._others - self._left) < self._needed_count:
            is_lost = True
        if is_lost and not self.is_superseded:
            self.is_superseded = True
            self._on_superseded(standing.term)
