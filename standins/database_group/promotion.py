"""Promotion of a replica to primary of the next term."""

import asyncio
import time
from collections.abc import Sequence
from typing import Final, final

from mimosapond.clock import MS_PER_S
from standins.database_group.group_member import GroupMember
from standins.database_group.log_entry import LogEntry
from standins.database_group.member_log import position_text
from standins.database_group.promotion_call import PromotionCall
from standins.database_group.promotion_record import (
    LostCommit,
    PromotionRecord,
)

# Time for which a rollback occupies all slots of a replica.
_ROLLBACK_DURATION_MS: Final = 50


@final
class Promotion:
    """Promotes members; one promotion runs at a time.

    Attributes
    ----------
    records
        Promotions that took effect, with the acknowledged commits they lost.
    """

    def __init__(
        self, members: Sequence[GroupMember], acknowledged: list[LogEntry]
    ) -> None:
        """Use the present members of a group.

        Parameters
        ----------
        acknowledged
            Commits that the members acknowledged and that are not lost yet.
        """
        self.records: Final[list[PromotionRecord]] = []
        self._acknowledged = acknowledged
        self._members = members
        self._lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def promote(self, call: PromotionCall) -> int | None:
        """Make a member the primary.

        Returns
        -------
        int | None
            Term of the member as primary; None if it does not exist or does
            not run. A member that is primary already keeps its term.
        """
        async with self._lock:
            member = self._find(call.member_id)
            if member is None:
                return None
            if member.is_running and not member.is_primary:
                await asyncio.sleep(member.settings.promote_ms / MS_PER_S)
                self._make_primary(member, call)
            return member.log.term if member.leads(member.log.term) else None

    def _find(self, member_id: str) -> GroupMember | None:
        for member in self._members:
            if member.member_id == member_id:
                return member
        return None

    def _make_primary(
        self, new_primary: GroupMember, call: PromotionCall
    ) -> None:
        if not new_primary.is_running:
            return
        newest_term = max(each.log.term for each in self._members)
        self._record(new_primary, call, newest_term + 1)
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

    def _record(
        self, new_primary: GroupMember, call: PromotionCall, term: int
    ) -> None:
        """Record a promotion that takes effect now, before any roll-back."""
        log = new_primary.log
        lost = [entry for entry in self._acknowledged if not log.has(entry)]
        for each in lost:
            self._acknowledged.remove(each)
        commits = tuple(
            LostCommit.from_entry(entry, self._holder_ids(entry))
            for entry in lost
        )
        self.records.append(
            PromotionRecord(
                call,
                time.monotonic(),
                term,
                position_text(log.received),
                commits,
            )
        )

    def _holder_ids(self, entry: LogEntry) -> tuple[str, ...]:
        return tuple(
            member.member_id
            for member in self._members
            if member.log.has(entry)
        )

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
