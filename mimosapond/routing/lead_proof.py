"""Proofs that a member which considers itself the primary still leads.

On some platforms a former primary goes on to accept requests after another
member was promoted, until it reaches that member. Its answers prove nothing
there: callers that are cut off together with it would read old data.
"""

from typing import Protocol, final

from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.groups.member_status import MemberStatus
from mimosapond.routing.member_position_request import fetch_member_status


class LeadProof(Protocol):
    """Tells whether an answer of a member proves that it leads."""

    @property
    def is_answer_enough(self) -> bool:
        """Whether a former primary refuses requests at once."""

    async def proves(
        self, group: Group, primary: Member, limit_s: float
    ) -> bool:
        """Return whether a member that accepted a request before leads."""


@final
class AnswerProof:
    """Trusts answers, as a former primary refuses requests at once."""

    is_answer_enough = True

    async def proves(
        self, group: Group, primary: Member, limit_s: float
    ) -> bool:
        """Return True."""
        return True


@final
class ReplicaProof:
    """Asks a replica whether it still receives from the primary.

    A promotion takes effect only after all replicas have been paused. A replica
    that is not paused and has the term of the primary thus proves that no other
    member led when it was asked.
    """

    is_answer_enough = False

    def __init__(self) -> None:
        """Start without known terms."""
        self._terms: dict[str, tuple[Member, int]] = {}

    async def proves(
        self, group: Group, primary: Member, limit_s: float
    ) -> bool:
        """Return whether a replica was seen to follow the primary.

        A replica that leads in a newer term makes the primary suspect.
        """
        term = await self._term_of(group, primary, limit_s)
        if term is None:
            return False
        for member in _replicas(group, primary):
            status = await fetch_member_status(member, limit_s)
            if status is None:
                continue
            if status.is_primary and status.term > term:
                group.suspect_primary(primary, 'another member leads')
                return False
            if _follows(status, term):
                return True
            self._terms.pop(group.name, None)
        return False

    async def _term_of(
        self, group: Group, primary: Member, limit_s: float
    ) -> int | None:
        """Return the term of a primary; None if it leads no more."""
        known = self._terms.get(group.name)
        if known is not None and known[0] is primary:
            return known[1]
        status = await fetch_member_status(primary, limit_s)
        if status is None or not status.is_primary:
            return None
        self._terms[group.name] = (primary, status.term)
        return status.term


def _replicas(group: Group, primary: Member) -> list[Member]:
    """Return the members to ask, those that answered last first."""
    return sorted(
        (
            member
            for member in group.members.values()
            if member is not primary and not member.load.is_unreachable
        ),
        key=lambda member: member.load.last_contact_s,
        reverse=True,
    )


def _follows(status: MemberStatus, term: int) -> bool:
    is_receiving = not status.is_primary and status.paused_term == 0
    return is_receiving and status.term == term
