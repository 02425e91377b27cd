"""Promotion of a replica to primary of the next term."""

import asyncio
from typing import Final, final

from mimosapond.clock import MS_PER_S
from standins.database_group.group_member import GroupMember

# Time for which a rollback occupies all slots of a replica.
_ROLLBACK_DURATION_MS: Final = 50


@final
class Promotion:
    """Promotes members; one promotion runs at a time."""

    def __init__(self, members: tuple[GroupMember, ...]) -> None:
        """Store all members of the group."""
        self._members = members
        self._lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def promote(self, member_id: str) -> int | None:
        """Make a member the primary.

        Returns
        -------
        int | None
            Term of the member as primary; None if it does not exist or does
            not run. A member that is primary already keeps its term.
        """
        async with self._lock:
            member = self._find(member_id)
            if member is None:
                return None
            if member.is_running and not member.is_primary:
                await asyncio.sleep(member.settings.promote_ms / MS_PER_S)
                self._make_primary(member)
            return member.log.term if member.leads(member.log.term) else None

    def _find(self, member_id: str) -> GroupMember | None:
        for member in self._members:
            if member.member_id == member_id:
                return member
        return None

    def _make_primary(self, new_primary: GroupMember) -> None:
        if not new_primary.is_running:
            return
        newest_term = max(each.log.term for each in self._members)
        for member in self._members:
            member.is_primary = False
            if member is not new_primary:
                self._roll_back(member, new_primary)
        new_primary.paused_term = 0
        new_primary.log.start_term(newest_term + 1)
        new_primary.is_primary = True
        new_primary.checks.counts['promotions'] += 1
        for each in self._members:
            each.notify()

    def _roll_back(self, member: GroupMember, new_primary: GroupMember) -> None:
        count = member.log.common_count(new_primary.log)
        lost = member.log.entries[count:]
        for entry in lost:
            if entry.is_acknowledged:
                detail = f'acknowledged, then rolled back: {entry}'
                new_primary.checks.record('LOST', new_primary.member_id, detail)
                # Other members may hold the same entry, which is reported once.
                entry.is_acknowledged = False
        if lost:
            member.log.truncate(count)
            for _ in range(member.settings.slots):
                work = member.slots.occupy(_ROLLBACK_DURATION_MS / MS_PER_S)
                task = asyncio.create_task(work)
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
