"""An event loop on virtual time, so that tests do not depend on real time."""

import asyncio
import selectors
from typing import Any, Final, final

_START_UNIX_MS: Final = 1_764_830_000_000
_MS_PER_S: Final = 1000


@final
class VirtualSelector(selectors.SelectSelector):
    """Selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        """Start at time 0."""
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by ``timeout`` and poll without waiting.

        Raises
        ------
        RuntimeError
            There is no timeout: all tasks wait for each other.
        """
        if timeout is None:
            raise RuntimeError(
                'deadlock: all tasks wait and no timer is scheduled'
            )
        self.now_s += max(0, timeout)
        return super().select(0)


@final
class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs tasks in a fixed order on virtual time."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s


@final
class LoopClock:
    """Clock that reads the time of an event loop.

    ``skipped_ms`` is added to the Unix time only, as a change of the system clock
    would be.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a clock on the time of ``loop``."""
        self._loop = loop
        self.skipped_ms = 0

    def monotonic_s(self) -> float:
        """Return the time of the loop."""
        return self._loop.time()

    def unix_ms(self) -> int:
        """Return a fixed start plus the time of the loop."""
        elapsed_ms = int(self._loop.time() * _MS_PER_S)
        return _START_UNIX_MS + elapsed_ms + self.skipped_ms

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(delay_s)
