"""Repeats an attempt after a delay."""

import asyncio
from collections.abc import Callable
from typing import final


@final
class RetryTimer:
    """Runs one attempt later; a new delay replaces the one before."""

    def __init__(self, attempt: Callable[[], None]) -> None:
        """Wait for nothing yet."""
        self._attempt = attempt
        self._timer: asyncio.TimerHandle | None = None

    def start(self, delay_s: float) -> None:
        """Run the attempt after a delay; do nothing if it is 0."""
        if delay_s:
            self.cancel()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._attempt)

    def cancel(self) -> None:
        """Drop an attempt that waits."""
        if self._timer is not None:
            self._timer.cancel()
