"""Simulated clock that advances only by explicit calls."""

import asyncio
import heapq
import itertools
from typing import Final, final

from mimosapond.clock import MS_PER_S

# Passes of the event loop in which woken tasks can run until they wait again.
_SETTLE_LOOP_COUNT: Final = 50


@final
class ManualClock:
    """Wakes sleeping tasks in the order of their deadlines."""

    def __init__(self) -> None:
        """Create a clock that stands at zero."""
        self._now_s: float = 0
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Event]] = []

    def monotonic_s(self) -> float:
        """Return the simulated time in seconds."""
        return self._now_s

    def unix_ms(self) -> int:
        """Return the simulated time in milliseconds."""
        return int(self._now_s * MS_PER_S)

    async def sleep(self, delay_s: float) -> None:
        """Wait until the clock has advanced by ``delay_s``."""
        event = asyncio.Event()
        deadline_s = self._now_s + delay_s
        heapq.heappush(self._sleepers, (deadline_s, next(self._order), event))
        await event.wait()

    def skip(self, delay_s: float) -> None:
        """Advance the time without waking or running tasks."""
        self._now_s += delay_s

    async def advance(self, delay_s: float) -> None:
        """Advance the time and wake the tasks whose sleep ends until then."""
        end_s = self._now_s + delay_s
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            deadline_s, _, event = heapq.heappop(self._sleepers)
            self._now_s = max(self._now_s, deadline_s)
            event.set()
            await self.settle()
        self._now_s = end_s

    async def settle(self) -> None:
        """Run the event loop until all runnable tasks wait again."""
        for _ in range(_SETTLE_LOOP_COUNT):
            await asyncio.sleep(0)
