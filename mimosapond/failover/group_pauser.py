"""Pausing of all replicas of a group, including newly registered ones."""

import asyncio
from collections.abc import Collection
from typing import final

from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.control_requests import pause_all
from mimosapond.failover.group_statuses import GroupStatuses
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member


@final
class GroupPauser:
    """Stops the members of a group from receiving from the primary."""

    def __init__(self, membership: GroupMembership) -> None:
        """Create a pauser for the groups of a membership."""
        self._membership = membership

    async def pause(
        self, group: Group, term: int, excluded: Collection[Member] = ()
    ) -> GroupStatuses:
        """Pause the members and read the registrations at the same time.

        Members that the registrations add are paused afterwards.

        Parameters
        ----------
        term
            Fencing token of the claim, higher than all terms of the group.
        excluded
            Members that are not paused.

        Returns
        -------
        GroupStatuses
            The expected members without the excluded ones, and all reports.
        """
        asked = _without(group.members.values(), excluded)
        answers, _ = await asyncio.gather(
            pause_all(asked, term), self._membership.refresh()
        )
        unasked = _without(group.members.values(), (*asked, *excluded))
        answers.update(await pause_all(unasked, term))
        return GroupStatuses(
            _without(self._membership.expected(group), excluded),
            answers,
            self._membership.knowledge(group),
        )


def _without(
    members: Collection[Member], excluded: Collection[Member]
) -> tuple[Member, ...]:
    return tuple(member for member in members if member not in excluded)
