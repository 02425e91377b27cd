"""Finds a group's primary by asking all members.

Used where no host knows the group yet, and to find members that adopted a
term which nobody leads.
"""

from typing import final

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.member_survey import standings, survey
from mimosapond.standing import Standing
from mimosapond.term_grants import led_view
from mimosapond.term_parts import TermParts


@final
class GroupSurvey:
    """Standings of the members of one group."""

    def __init__(self, parts: TermParts, group: GroupSpec) -> None:
        """Survey ``group``."""
        self._parts = parts
        self._group = group

    async def ask(self) -> tuple[Standing, ...]:
        """Return the standings of the members that answer in time."""
        answers = await survey(
            {
                member.name: self._parts.target.status(
                    member,
                    self._parts.check_timeout_s,
                )
                for member in self._group.members
            },
            lambda known: len(known) == len(self._group.members),
        )
        return standings(answers)

    async def bring_up(
        self,
        view: GroupView,
        known: tuple[Standing, ...],
    ) -> None:
        """Send the held term of ``view`` to the members below it."""
        for standing in known:
            member = self._group.member(standing.member)
            if member is not None and standing.term < view.term:
                await self._parts.target.adopt(
                    member,
                    view.term,
                    self._parts.host_id,
                    self._parts.check_timeout_s,
                )

    def reported_view(self, known: tuple[Standing, ...]) -> GroupView | None:
        """Return the view of the newest primary that a majority supports."""
        newest_term = max((standing.term for standing in known), default=0)
        at_term = [one for one in known if one.term == newest_term]
        if len(at_term) < self._group.majority_count:
            return None
        return led_view(known, newest_term)
