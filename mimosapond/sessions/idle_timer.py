"""Limits the time between two statements of a transaction."""

import asyncio
from collections.abc import Callable
from typing import final


@final
class IdleTimer:
    """Calls back once a transaction has been idle for too long."""

    def __init__(self, on_timeout: Callable[[], None]) -> None:
        """Create a timer that does not run yet."""
        self._on_timeout = on_timeout
        self._handle: asyncio.TimerHandle | None = None

    def start(self, limit_s: float) -> None:
        """Call back after ``limit_s``, unless the timer is stopped."""
        self.stop()
        self._handle = asyncio.get_running_loop().call_later(
            limit_s, self._on_timeout
        )

    def stop(self) -> None:
        """Stop the timer if it runs."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
