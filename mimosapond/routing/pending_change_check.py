"""Checks in the store that no change of primary is pending.

Such a change pauses the witnesses. A witness that may have started again, and so
have forgotten its pause, proves something only if none is pending.
"""

import asyncio
from typing import Protocol, final

from mimosapond.failover.claim_port import FoundRecord
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member


class RecordSource(Protocol):
    """Reads the records of groups."""

    async def read_record(self, group: str) -> FoundRecord | None:
        """Return the record of a group; None if the store did not answer."""


class ChangeCheck(Protocol):
    """Tells whether a change of primary may be pending."""

    async def is_none_pending(self, group: Group, primary: Member) -> bool:
        """Return whether none was pending at some time after the call."""


@final
class PendingChangeCheck:
    """Reads the record of a group; concurrent callers share one read."""

    def __init__(self, records: RecordSource) -> None:
        """Create a check without a read under way."""
        self._records = records
        self._next_reads: dict[str, asyncio.Task[FoundRecord | None]] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def is_none_pending(self, group: Group, primary: Member) -> bool:
        """Return whether the store has neither a claim nor a pending lead.

        The read begins after the call.
        """
        task = self._next_reads.get(group.name)
        if task is None:
            task = asyncio.create_task(self._read_next(group.name))
            self._next_reads[group.name] = task
        found = await asyncio.shield(task)
        if found is None or found.is_claimed:
            return False
        return not found.record.is_change_pending(primary.member_id)

    async def _read_next(self, group: str) -> FoundRecord | None:
        """Read once the read that is under way has ended."""
        async with self._locks.setdefault(group, asyncio.Lock()):
            # Who asks from now on needs a read that begins later.
            self._next_reads.pop(group)
            return await self._records.read_record(group)


@final
class NeverChecked:
    """Cannot tell that no change is pending."""

    async def is_none_pending(self, group: Group, primary: Member) -> bool:
        """Return False."""
        return False
