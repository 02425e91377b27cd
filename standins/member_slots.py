"""Slots of one member and their counters."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Final, final

from mimosapond.clock import MS_PER_S

_NS_PER_MS: Final = 1_000_000


@final
class MemberSlots:
    """Limits how many calls run statements at the same time."""

    def __init__(self, slot_count: int) -> None:
        """Start with all slots free."""
        self._free = asyncio.Semaphore(slot_count)
        self._running_count = 0
        self._busy_ns = 0
        self._statement_count = 0
        self._peak_count = 0

    @contextlib.asynccontextmanager
    async def hold(
        self,
        statement_count: int,
        cost_ms: int,
    ) -> AsyncIterator[None]:
        """Occupy a slot for ``cost_ms`` and for the body of the block.

        Parameters
        ----------
        statement_count
            Statements to count when the slot is released.
        """
        async with self._free:
            started_ns = time.monotonic_ns()
            self._running_count += 1
            self._peak_count = max(self._peak_count, self._running_count)
            try:
                await asyncio.sleep(cost_ms / MS_PER_S)
                yield
            finally:
                self._running_count -= 1
                self._statement_count += statement_count
                self._busy_ns += time.monotonic_ns() - started_ns

    def counters(self) -> dict[str, float]:
        """Return the counters since the start."""
        return {
            'slot_busy_ms': self._busy_ns / _NS_PER_MS,
            'statement_count': self._statement_count,
            'running_count': self._running_count,
            'running_peak_count': self._peak_count,
        }
