"""Counts requests in flight, so that a shutdown can wait for them."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import final


@final
class InFlight:
    """Requests being served at the callers' listener."""

    def __init__(self) -> None:
        """Start with none."""
        self.count = 0
        self.is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Count one request for the duration of the block."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until nothing is in flight; False after ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
