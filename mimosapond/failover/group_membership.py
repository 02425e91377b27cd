"""Which members a change of primary has to ask.

A member that is not asked may hold acknowledged commits and goes on receiving.
Registrations of a moment ago may lack a member that took the place of one that
left, so they are read again during a change.
"""

import enum
from typing import Final, final

from mimosapond.failover.departure_detector import DepartureDetector
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.member import Member
from mimosapond.groups.registration_poller import RegistrationPoller

# A change goes on without a registry that takes longer.
_REFRESH_TIMEOUT_S: Final = 0.3
# A primary, and replicas of which one may be lost with it.
_MEMBER_COUNT: Final = 3


@final
class MembershipKnowledge(enum.Enum):
    """How well this host knows the members of a group."""

    current = 'current'
    # The registry did not answer, but a whole group is known from before.
    earlier = 'earlier'
    # There may be members that this host has never seen.
    partial = 'partial'


@final
class GroupMembership:
    """Judges by registrations who may hold commits of the present term."""

    def __init__(
        self,
        departure_detector: DepartureDetector,
        directory: GroupDirectory,
        registrations: RegistrationPoller,
    ) -> None:
        """Take who has left and the registrations."""
        self._departure_detector = departure_detector
        self._directory = directory
        self._registrations = registrations

    def expected(self, group: Group) -> tuple[Member, ...]:
        """Return the members that may hold commits of the present term."""
        return tuple(
            member
            for member in group.members.values()
            if not self._departure_detector.has_left(member)
        )

    async def refresh(self) -> None:
        """Read the registrations, unless the registry is known to be silent."""
        if self._directory.is_current:
            await self._registrations.refresh(_REFRESH_TIMEOUT_S)

    def knowledge(self, group: Group) -> MembershipKnowledge:
        """Return how well the members of a group are known now."""
        is_whole = len(self.expected(group)) >= _MEMBER_COUNT
        if self._directory.is_current and (
            is_whole or self._directory.are_registrations_complete
        ):
            return MembershipKnowledge.current
        return (
            MembershipKnowledge.earlier
            if is_whole
            else MembershipKnowledge.partial
        )

    def is_fully_known(self, group: Group) -> bool:
        """Return whether no member can be unknown to this host."""
        return self.knowledge(group) is not MembershipKnowledge.partial
