"""An event loop on virtual time, so that no test depends on wall time."""

import asyncio
import selectors
from typing import Any, Final, final

_START_UNIX_MS: Final = 1_764_830_000_000
_MS_PER_S: Final = 1000


@final
class VirtualSelector(selectors.SelectSelector):
    """Advances time instead of waiting."""

    def __init__(self) -> None:
        """Start at time 0."""
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Skip the wait; a wait without end is a deadlock of the test."""
        if timeout is None:
            raise RuntimeError('all tasks wait and nothing is scheduled')
        self.now_s += max(0, timeout)
        return super().select(0)


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in a fixed order at virtual times."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s


@final
class LoopClock:
    """Clock of the project on the time of a loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read the time of ``loop``."""
        self._loop = loop
        self.skipped_ms = 0

    def monotonic_s(self) -> float:
        """Return the loop's time."""
        return self._loop.time()

    def unix_ms(self) -> int:
        """Return a fixed start plus the loop's time."""
        elapsed_ms = int(self._loop.time() * _MS_PER_S)
        return _START_UNIX_MS + elapsed_ms + self.skipped_ms

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(delay_s)
