"""Asks all members of a group for their standings.

This finds the primary of a group whose view this host does not know yet, and
members that adopted a higher term without a primary.
"""

from typing import final

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.member_survey import standings, survey
from mimosapond.standing import Standing
from mimosapond.term_grants import view_of_primary
from mimosapond.term_parts import TermParts


@final
class GroupSurvey:
    """Survey of the members of one group."""

    def __init__(self, parts: TermParts, group: GroupSpec) -> None:
        """Create a survey of ``group`` for the host of ``parts``."""
        self._parts = parts
        self._group = group

    async def ask(self) -> tuple[Standing, ...]:
        """Return the standings of the members that answer within the timeout."""
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

    async def send_term(
        self,
        view: GroupView,
        known: tuple[Standing, ...],
    ) -> None:
        """Ask the members that are at a lower term to adopt the held term.

        Parameters
        ----------
        view
            View of the term that this host holds.
        known
            Standings of the members that answered a survey.
        """
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
        """Return the view of the highest term if it can be trusted.

        Returns
        -------
        GroupView or None
            None if less than a majority is at the highest term, or if none of
            the members leads it.
        """
        newest_term = max((standing.term for standing in known), default=0)
        at_term = [
            reported for reported in known if reported.term == newest_term
        ]
        if len(at_term) < self._group.majority_count:
            return None
        return view_of_primary(known, newest_term)
