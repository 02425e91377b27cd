"""Sources of time, which tests can replace."""

import asyncio
import time
from typing import Final, Protocol, final

MS_PER_S: Final = 1000
_NS_PER_MS: Final = 1_000_000


class Clock(Protocol):
    """Time source: monotonic for durations, Unix time for request ids."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start."""

    def unix_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for ``delay_s``."""


@final
class SystemClock:
    """Clock that reads the clocks of the machine."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task for ``delay_s``."""
        await asyncio.sleep(delay_s)
