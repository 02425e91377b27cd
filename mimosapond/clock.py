"""Time source, replaceable in tests."""

import asyncio
import time
from typing import Final, Protocol, final

MS_PER_S: Final = 1000
_NS_PER_MS: Final = 1_000_000


class Clock(Protocol):
    """Monotonic time for durations, unix time only for request ids."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start."""

    def unix_ms(self) -> int:
        """Return milliseconds since 1970."""

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task."""


@final
class SystemClock:
    """The machine's clocks."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def unix_ms(self) -> int:
        """Return milliseconds since 1970."""
        return time.time_ns() // _NS_PER_MS

    async def sleep(self, delay_s: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(delay_s)
