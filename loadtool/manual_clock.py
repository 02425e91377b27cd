"""Clock that moves only when it is told to."""

import asyncio
import heapq
import itertools
from typing import Final, final

from mimosapond.clock import MS_PER_S

# Loop passes in which tasks that were woken run until they wait again.
_SETTLE_PASS_COUNT: Final = 50


@final
class ManualClock:
    """Wakes sleeping tasks in the order of their deadlines."""

    def __init__(self) -> None:
        """Start at zero."""
        self._now_s: float = 0
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Event]] = []

    def monotonic_s(self) -> float:
        """Return the seconds that were advanced."""
        return self._now_s

    def unix_ms(self) -> int:
        """Return the milliseconds that were advanced."""
        return int(self._now_s * MS_PER_S)

    async def sleep(self, delay_s: float) -> None:
        """Wait until the clock was advanced far enough."""
        event = asyncio.Event()
        deadline_s = self._now_s + delay_s
        heapq.heappush(self._sleepers, (deadline_s, next(self._order), event))
        await event.wait()

    def skip(self, delay_s: float) -> None:
        """Advance without giving tasks a chance to run."""
        self._now_s += delay_s

    async def advance(self, delay_s: float) -> None:
        """Advance and run the tasks whose sleep ends."""
        end_s = self._now_s + delay_s
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end_s:
            deadline_s, _, event = heapq.heappop(self._sleepers)
            self._now_s = max(self._now_s, deadline_s)
            event.set()
            await self.settle()
        self._now_s = end_s

    async def settle(self) -> None:
        """Let the tasks run until they wait."""
        for _ in range(_SETTLE_PASS_COUNT):
            await asyncio.sleep(0)
