"""Calls a function at a time of the injected clock."""

import asyncio
from collections.abc import Callable
from typing import final

from mimosapond.clock import Clock


@final
class DueTimer:
    """One timer that keeps the earliest time it was armed for.

    A call that comes too early does no harm: the called function arms the
    timer again. So a later time never moves a set timer.
    """

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        """Call ``callback`` whenever an armed time is reached."""
        self._clock = clock
        self._callback = callback
        self._due_s = float('inf')
        self._task: asyncio.Task[None] | None = None

    def arm(self, due_s: float | None) -> None:
        """Make sure the function is called at ``due_s`` or before."""
        if due_s is None or due_s >= self._due_s:
            return
        self.cancel()
        self._due_s = due_s
        self._task = asyncio.create_task(self._wait(due_s))

    def cancel(self) -> None:
        """Drop the armed time."""
        if self._task is not None:
            self._task.cancel()
        self._task = None
        self._due_s = float('inf')

    async def _wait(self, due_s: float) -> None:
        await self._clock.sleep(max(0, due_s - self._clock.monotonic_s()))
        # The running task must not be cancelled when the callback arms again.
        self._task = None
        self._due_s = float('inf')
        self._callback()
