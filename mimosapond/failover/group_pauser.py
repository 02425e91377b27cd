"""Control requests to all members of a group, also newly registered ones."""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import final

from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.control_requests import (
    MemberReport,
    fetch_all_statuses,
    pause_all,
)
from mimosapond.failover.group_statuses import GroupStatuses
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member


@final
class GroupPauser:
    """Asks the members of a group, or stops them from receiving."""

    def __init__(self, membership: GroupMembership) -> None:
        """Create a pauser for the groups of a membership."""
        self._membership = membership

    async def pause(
        self, group: Group, term: int, excluded: Collection[Member] = ()
    ) -> GroupStatuses:
        """Pause the members and return their reports.

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
        return await self._ask_all(
            group, functools.partial(pause_all, term=term), excluded
        )

    async def fetch(self, group: Group) -> GroupStatuses:
        """Return the statuses of all members, also of those that have left."""
        return await self._ask_all(group, fetch_all_statuses, ())

    async def _ask_all(
        self,
        group: Group,
        ask: Callable[[Iterable[Member]], Awaitable[dict[str, MemberReport]]],
        excluded: Collection[Member],
    ) -> GroupStatuses:
        """Ask the members and read the registrations at the same time.

        Members that the registrations add are asked afterwards.
        """
        asked = _without(group.members.values(), excluded)
        answers, _ = await asyncio.gather(
            ask(asked), self._membership.refresh()
        )
        unasked = _without(group.members.values(), (*asked, *excluded))
        answers.update(await ask(unasked))
        return GroupStatuses(
            _without(self._membership.expected(group), excluded),
            answers,
            self._membership.knowledge(group),
            group,
        )


def _without(
    members: Collection[Member], excluded: Collection[Member]
) -> tuple[Member, ...]:
    return tuple(member for member in members if member not in excluded)
