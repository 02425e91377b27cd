"""Runs open-loop load, which starts at given times, and closed-loop load."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeAlias

# Called with the number of the arrival and its scheduled time on the monotonic
# clock, in seconds.
Work: TypeAlias = Callable[[int, float], Awaitable[None]]


async def run_open_loop(arrivals: Iterable[float], work: Work) -> None:
    """Start ``work`` at each arrival and wait until all calls have ended.

    A call starts at its time even if earlier calls are still running.

    Parameters
    ----------
    arrivals
        Rising times in seconds since the start of the load.
    """
    started_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for number, arrival_s in enumerate(arrivals):
            scheduled_s = started_s + arrival_s
            await asyncio.sleep(max(0, scheduled_s - time.monotonic()))
            group.create_task(_call(work, number, scheduled_s))


async def run_closed_loop(
    work: Callable[[], Awaitable[None]],
    worker_count: int,
    duration_s: float,
) -> None:
    """Repeat ``work`` in ``worker_count`` tasks for ``duration_s``.

    A call that runs at the end of this time is completed.
    """
    end_s = time.monotonic() + duration_s
    async with asyncio.TaskGroup() as group:
        for repeated in itertools.repeat(work, worker_count):
            group.create_task(_repeat(repeated, end_s))


async def _call(work: Work, number: int, scheduled_s: float) -> None:
    await work(number, scheduled_s)


async def _repeat(work: Callable[[], Awaitable[None]], end_s: float) -> None:
    while time.monotonic() < end_s:
        await work()
