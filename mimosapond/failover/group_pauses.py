"""Pauses the replicas of a group, also those that registered just now."""

import asyncio
from collections.abc import Collection
from typing import final

from mimosapond.failover.group_members import GroupMembers
from mimosapond.failover.log_survey import pause_all
from mimosapond.failover.paused_group import PausedGroup
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member


@final
class GroupPauses:
    """Stops all members of a group from receiving but some."""

    def __init__(self, members: GroupMembers) -> None:
        """Take who belongs to a group."""
        self._members = members

    async def pause(
        self, group: Group, term: int, excluded: Collection[Member] = ()
    ) -> PausedGroup:
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
            pause_all(asked, term), self._members.refresh()
        )
        unasked = _without(group.members.values(), (*asked, *excluded))
        answers.update(await pause_all(unasked, term))
        return PausedGroup(
            _without(self._members.expected(group), excluded),
            answers,
            self._members.knowledge(group),
        )


def _without(
    members: Collection[Member], excluded: Collection[Member]
) -> tuple[Member, ...]:
    return tuple(member for member in members if member not in excluded)
