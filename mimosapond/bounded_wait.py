"""Waits for a future no longer than a deadline allows."""

import asyncio
from typing import TypeVar

_Answer = TypeVar('_Answer')


async def wait_for_future(
    future: asyncio.Future[_Answer],
    timeout_s: float,
) -> _Answer | None:
    """Return the future's answer, None when the time is over first."""
    try:
        async with asyncio.timeout(timeout_s):
            return await future
    except TimeoutError:
        return None
