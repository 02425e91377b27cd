"""Timer that calls a function at a time of the injected clock."""

import asyncio
from collections.abc import Callable
from typing import final

from mimosapond.clock import Clock


@final
class DueTimer:
    """A timer that fires at the earliest time for which it was armed.

    Arming it for a later time has no effect. This is safe because the callback
    may be called too early: it arms the timer again if necessary.
    """

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        """Create a timer, not armed, that calls ``callback`` when it fires."""
        self._clock = clock
        self._callback = callback
        self._due_s = float('inf')
        self._task: asyncio.Task[None] | None = None

    def arm(self, due_s: float | None) -> None:
        """Ensure that the callback is called at ``due_s`` or earlier.

        Parameters
        ----------
        due_s
            Monotonic time; None does nothing.
        """
        if due_s is None or due_s >= self._due_s:
            return
        self.cancel()
        self._due_s = due_s
        self._task = asyncio.create_task(self._wait(due_s))

    def cancel(self) -> None:
        """Disarm the timer."""
        if self._task is not None:
            self._task.cancel()
        self._task = None
        self._due_s = float('inf')

    async def _wait(self, due_s: float) -> None:
        await self._clock.sleep(max(0, due_s - self._clock.monotonic_s()))
        # The callback may arm the timer again, which must not cancel this task.
        self._task = None
        self._due_s = float('inf')
        self._callback()
