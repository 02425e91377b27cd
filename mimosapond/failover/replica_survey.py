"""Questions to the replicas of a group that precede a change of primary."""

import asyncio
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.failover.control_requests import (
    MemberReport,
    fetch_all_statuses,
    fetch_status,
)
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.group_statuses import GroupStatuses
from mimosapond.failover.promotion_log import log_unsafe_promotion
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member

# Time limit for the successor of a leaving primary to catch up with it.
_CATCH_UP_TIMEOUT_S: Final = 3.0
_CATCH_UP_POLL_INTERVAL_S: Final = 0.02
# Time that replicas get to receive the last commits of a primary before it is
# considered to be cut off from them.
_REPLICATION_GRACE_S: Final = 0.25


@final
class ReplicaSurvey:
    """Finds a successor of a leaving primary, and a primary that is cut off."""

    def __init__(self, membership: GroupMembership, now: Now) -> None:
        """Ask the members that a membership expects."""
        self._membership = membership
        self._now = now

    async def ask_replicas(
        self, group: Group, leaving: Member
    ) -> GroupStatuses:
        """Return the statuses of all members but a leaving primary."""
        await self._membership.refresh_incomplete(group)
        replicas = tuple(
            member
            for member in self._membership.expected(group)
            if member is not leaving
        )
        return await self._fetch(group, replicas)

    async def await_catch_up(
        self, primary: Member, successor: Member
    ) -> MemberReport | None:
        """Wait until the successor has received the present log of the primary.

        Returns
        -------
        MemberReport or None
            The report of the successor, or None if the primary does not lead
            any more or the successor did not catch up in time.
        """
        primary_status = await fetch_status(primary)
        if primary_status is None or not primary_status.is_primary:
            return None
        deadline_s = self._now() + _CATCH_UP_TIMEOUT_S
        while self._now() < deadline_s:
            status = await fetch_status(successor)
            if status is not None and status.has_log_of(primary_status):
                return MemberReport(successor, status)
            await asyncio.sleep(_CATCH_UP_POLL_INTERVAL_S)
        return None

    async def is_cut_off(
        self, group: Group, earlier_statuses: GroupStatuses
    ) -> bool:
        """Return whether no replica receives the commits of the primary.

        False if a replica does not answer, as it may have received them.
        """
        if earlier_statuses.primary is None:
            return False
        await asyncio.sleep(_REPLICATION_GRACE_S)
        primary = earlier_statuses.primary
        replicas = tuple(
            member
            for member in earlier_statuses.members
            if member is not primary.member
        )
        statuses = await self._fetch(group, replicas)
        leads = self._membership.leads_to_keep(group)
        candidate = statuses.most_advanced(primary.member, leads)
        if candidate is None:
            log_unsafe_promotion(group, statuses)
        if candidate is None or statuses.silent_members:
            return False
        return candidate.status.received < primary.status.received

    async def _fetch(
        self, group: Group, members: tuple[Member, ...]
    ) -> GroupStatuses:
        return GroupStatuses(
            members,
            await fetch_all_statuses(members),
            self._membership.knowledge(group),
            group,
        )


def choose_successor(replicas: GroupStatuses) -> MemberReport | None:
    """Return the most advanced replica that is not leaving.

    Returns
    -------
    MemberReport or None
        None if a replica is silent or may be unknown. The hand-over would be
        given up then, after callers have waited for it.
    """
    return replicas.best_successor if replicas.is_complete else None
