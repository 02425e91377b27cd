"""The slots of a member with a bounded queue in front."""

import asyncio
from typing import final

from standins.database_group.member_faults import MemberFaults


@final
class WorkSlots:
    """Limits how many requests a member works on at a time."""

    def __init__(
        self, slot_count: int, queue_count: int, faults: MemberFaults
    ) -> None:
        """Start with all slots free."""
        self._free = asyncio.Semaphore(slot_count)
        self._queue_count = queue_count
        self._faults = faults
        self._waiting_count = 0
        self.busy_count = 0

    @property
    def is_full(self) -> bool:
        """Whether the queue takes no more."""
        return self._free.locked() and self._waiting_count >= self._queue_count

    async def work(self, duration_s: float) -> None:
        """Wait for a slot and occupy it."""
        self._waiting_count += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting_count -= 1
        self.busy_count += 1
        try:
            await asyncio.sleep(duration_s * max(self._faults.ratio('slow'), 1))
        finally:
            self.busy_count -= 1
            self._free.release()
