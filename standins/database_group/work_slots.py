"""Slots of a member with a bounded queue."""

import asyncio
from typing import final

from standins.database_group.member_faults import MemberFaults


@final
class WorkSlots:
    """Limits how many requests a member runs at the same time."""

    def __init__(
        self, slot_count: int, queue_limit_count: int, faults: MemberFaults
    ) -> None:
        """Start with all slots free.

        Parameters
        ----------
        queue_limit_count
            Waiting requests at which ``is_queue_full`` becomes true.
        faults
            The ratio of the fault ``slow`` multiplies each duration.
        """
        self._free = asyncio.Semaphore(slot_count)
        self._queue_limit_count = queue_limit_count
        self._faults = faults
        self._waiting_count = 0
        self.busy_count = 0

    @property
    def is_queue_full(self) -> bool:
        """Whether all slots are busy and no more requests may wait."""
        return (
            self._free.locked()
            and self._waiting_count >= self._queue_limit_count
        )

    async def occupy(self, duration_s: float) -> None:
        """Wait for a slot and occupy it for ``duration_s``."""
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
