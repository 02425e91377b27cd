"""What is certain about a group after its members were told to pause."""

from collections.abc import Mapping
from typing import final

from mimosapond.failover.group_membership import MembershipKnowledge
from mimosapond.failover.control_requests import SurveyedMember
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member


@final
class GroupStatuses:
    """Members that were expected, and the answers of those that paused."""

    def __init__(
        self,
        expected: tuple[Member, ...],
        answers: Mapping[str, SurveyedMember],
        knowledge: MembershipKnowledge,
    ) -> None:
        """Take the members of the group and the answers by id.

        Parameters
        ----------
        knowledge
            How well the members of the group were known.
        """
        self._answers = dict(answers)
        self._knowledge = knowledge
        self.silent = [
            member for member in expected if member.member_id not in answers
        ]

    @property
    def members(self) -> list[Member]:
        """Members that answered."""
        return [each.member for each in self._answers.values()]

    @property
    def replicas(self) -> list[Member]:
        """Members that answered and do not lead the newest term."""
        primary = self.primary
        return [
            each.member
            for each in self._answers.values()
            if each is not primary
        ]

    @property
    def has_paused_member(self) -> bool:
        """Whether any member does not receive."""
        return any(
            each.status.paused_term > 0 for each in self._answers.values()
        )

    def add(self, answer: SurveyedMember) -> None:
        """Add what a member said that was not paused."""
        self._answers[answer.member.member_id] = answer

    @property
    def primary(self) -> SurveyedMember | None:
        """The member that leads the newest term, if it answered."""
        newest = max(
            (each.status.term for each in self._answers.values()), default=0
        )
        for each in self._answers.values():
            if each.status.is_primary and each.status.term == newest:
                return each
        return None

    def includes_all_replicas(self, deposed: Member | None) -> bool:
        """Return whether the answers include every replica.

        With one silent member and no primary among the others, the silent
        one is the primary, unless the primary was deposed before.
        """
        silent_count = 1 if deposed is None else 0
        if self.primary is not None or len(self.silent) > silent_count:
            return False
        match self._knowledge:
            case MembershipKnowledge.current:
                return True
            case MembershipKnowledge.earlier:
                # If nobody is silent and nobody leads, the primary is a
                # member that this host has never seen.
                return deposed is not None or bool(self.silent)
            case MembershipKnowledge.partial:
                return False

    @property
    def is_complete(self) -> bool:
        """Whether all members answered, and no other exists."""
        is_known = self._knowledge is not MembershipKnowledge.partial
        return is_known and not self.silent

    def most_advanced(self, excluded: Member | None) -> SurveyedMember | None:
        """Return the member to promote."""
        candidates = [
            each
            for each in self._answers.values()
            if each.member is not excluded and not each.status.is_primary
        ]
        return max(candidates, key=_promotion_rank, default=None)


def newest_term(group: Group) -> int:
    """Return the newest term, of a lead or a pause, that this host has seen."""
    terms = [member.load.term for member in group.members.values()]
    return max(terms, default=0)


def _promotion_rank(each: SurveyedMember) -> tuple[object, ...]:
    return (
        each.status.received,
        each.member.accepts_new_work,
        each.member.member_id,
    )
