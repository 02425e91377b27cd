"""Pauses the replicas of a group, also those that registered just now."""

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
    """Stops all members of a group from receiving but some."""

    def __init__(self, membership: GroupMembership) -> None:
        """Take who belongs to a group."""
        self._membership = membership

    async def pause(
        self, group: Group, term: int, excluded: Collection[Member] = ()
    ) -> GroupStatuses:
        """Pause members and read the registrations again.

        Parameters
        ----------
        term
            Newer than all terms of the group.
        excluded
            Members that go on receiving.
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
