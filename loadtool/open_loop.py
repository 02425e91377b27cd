"""Starts work at its arrival times, however long earlier work takes."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeAlias

# Called with number and scheduled monotonic time of an arrival.
Work: TypeAlias = Callable[[int, float], Awaitable[None]]


async def run_open_loop(arrivals: Iterable[float], work: Work) -> None:
    """Start ``work`` at each arrival and wait until all of it has ended."""
    begun_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for number, arrival_s in enumerate(arrivals):
            scheduled_s = begun_s + arrival_s
            await asyncio.sleep(max(0, scheduled_s - time.monotonic()))
            group.create_task(_call(work, number, scheduled_s))


async def run_closed_loop(
    work: Callable[[], Awaitable[None]],
    worker_count: int,
    duration_s: float,
) -> None:
    """Let some workers repeat ``work`` until the time is over."""
    end_s = time.monotonic() + duration_s
    async with asyncio.TaskGroup() as group:
        for repeated in itertools.repeat(work, worker_count):
            group.create_task(_repeat(repeated, end_s))


async def _call(work: Work, number: int, scheduled_s: float) -> None:
    await work(number, scheduled_s)


async def _repeat(work: Callable[[], Awaitable[None]], end_s: float) -> None:
    while time.monotonic() < end_s:
        await work()
