"""Members that a change of primary has to ask.

A member that is not asked is not paused, goes on receiving, and may hold
acknowledged commits that the promoted member lacks. Registrations that were
read before the change may lack a member that replaced another one, so they are
read again during the change.
"""

import enum
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.failover.departure_detector import (
    UNLISTED_SILENCE_TIMEOUT_S,
    DepartureDetector,
)
from mimosapond.failover.lead_record import LeadRecord, LeadUnknown
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.lead import Lead
from mimosapond.groups.member import Member
from mimosapond.groups.member_process import MemberProcess
from mimosapond.groups.registration_poller import RegistrationPoller

# Time limit for reading the registrations. A change proceeds without them if
# the registry takes longer.
_REFRESH_TIMEOUT_S: Final = 0.3
# Age of registrations up to which they are used while the registry does not
# answer. A replica that registered since is not a witness yet when the change
# of primary ends (``routing/commit_witnesses``).
_MAX_KNOWLEDGE_AGE_S: Final = 4.0
# Size of a complete group: a primary and two replicas, of which one may fail
# together with the primary.
_MEMBER_COUNT: Final = 3
# Time in which the successor of a member that left registers. It receives
# commits from its start on, while its first registration may be delayed by the
# store, lost once, and read with the next poll.
_SUCCESSOR_REGISTRATION_S: Final = 5.0
_LEAD_UNKNOWN: Final = LeadUnknown()


@final
class MembershipKnowledge(enum.Enum):
    """How well this host knows the members of a group."""

    current = 'current'
    # The registry did not answer, but a complete group was known before.
    earlier = 'earlier'
    # There may be members that this host has never seen.
    partial = 'partial'


@final
class GroupMembership:
    """Tells which members may hold commits of the current term.

    The answers depend on the registrations and on which members have left.
    """

    def __init__(
        self,
        departure_detector: DepartureDetector,
        directory: GroupDirectory,
        registrations: RegistrationPoller,
        now: Now,
    ) -> None:
        """Create the membership of the groups of a directory."""
        self._departure_detector = departure_detector
        self._directory = directory
        self._registrations = registrations
        self._now = now

    def has_left(self, group: Group, member: Member) -> bool:
        """Return whether a member has left for good, as far as is known.

        One whose address another member has taken does not run any more.
        """
        return (
            self._departure_detector.has_left(member)
            or group.successor_of(member) is not None
        )

    def has_ended(self, group: Group, process: MemberProcess) -> bool:
        """Return whether a process has ended for good, as far as is known."""
        member = group.members.get(process.member_id)
        if member is None:
            absence_s = self.absence_s(group, process.member_id)
            return absence_s > UNLISTED_SILENCE_TIMEOUT_S
        is_other = member.record.process != process
        return is_other or self.has_left(group, member)

    def absence_s(self, group: Group, member_id: str) -> float:
        """Return for how long a member has not been registered."""
        return self._directory.absence_s(group, member_id)

    def expected(self, group: Group) -> tuple[Member, ...]:
        """Return the members that may hold commits of the current term."""
        return tuple(
            member
            for member in group.members.values()
            if not self.has_left(group, member)
        )

    async def refresh(self) -> None:
        """Read the registrations, unless the registry is unreachable."""
        if self._directory.is_current:
            await self._registrations.refresh(_REFRESH_TIMEOUT_S)

    async def refresh_incomplete(self, group: Group) -> None:
        """Read the registrations if the group may have an unknown member."""
        if not self.is_fully_known(group):
            await self.refresh()

    def knowledge(self, group: Group) -> MembershipKnowledge:
        """Return how well this host knows the members of a group now."""
        is_complete = len(self.expected(group)) >= _MEMBER_COUNT
        if self._directory.is_current and (
            is_complete or self._is_vacancy_certain(group)
        ):
            return MembershipKnowledge.current
        age_s = self._now() - self._directory.read_s
        if is_complete and age_s <= _MAX_KNOWLEDGE_AGE_S:
            return MembershipKnowledge.earlier
        return MembershipKnowledge.partial

    def is_fully_known(self, group: Group) -> bool:
        """Return whether this host knows every member of a group."""
        return self.knowledge(group) is not MembershipKnowledge.partial

    def leads_to_keep(
        self, group: Group, recorded: LeadRecord = _LEAD_UNKNOWN
    ) -> tuple[Lead, ...]:
        """Return the leads whose begin a promoted member has to have.

        These are the last one that was recorded, and the last one that this
        host saw until its member is lost for good. A member that lacks the begin
        of a recorded lead lacks acknowledged commits, so it is not promoted even
        if nobody is left who has them.
        """
        is_lost = group.lead is None or self._directory.has_forgotten(
            group, group.lead.member_id
        )
        seen = None if is_lost else group.lead
        return tuple(
            lead for lead in (seen, recorded) if isinstance(lead, Lead)
        )

    def _is_vacancy_certain(self, group: Group) -> bool:
        """Return whether no unknown member can have replaced one that left.

        The successor of a member that left receives commits before this host
        can read its registration. Without it, the commits that only it and a
        lost primary have would be lost by a promotion.
        """
        vacant_since_s = max(
            (
                member.unlisted_since_s
                for member in group.members.values()
                if member.unlisted_since_s is not None
            ),
            default=-_SUCCESSOR_REGISTRATION_S,
        )
        return (
            self._directory.are_registrations_complete
            and self._was_complete(group)
            and self._now() - vacant_since_s >= _SUCCESSOR_REGISTRATION_S
        )

    def _was_complete(self, group: Group) -> bool:
        """Return whether no member can have lapsed before this host started.

        Such a member may hold commits like one that lapses while this host
        runs, and is waited for as long.
        """
        reading_s = self._now() - self._directory.first_read_s
        is_known = len(group.members) >= _MEMBER_COUNT
        return is_known or reading_s > UNLISTED_SILENCE_TIMEOUT_S
