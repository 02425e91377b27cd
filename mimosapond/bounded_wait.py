"""Waits for a future with a timeout."""

import asyncio
from typing import TypeVar

_Answer = TypeVar('_Answer')


async def wait_for_future(
    future: asyncio.Future[_Answer],
    timeout_s: float,
) -> _Answer | None:
    """Return the result of ``future``, None after ``timeout_s``.

    The future is cancelled when the time runs out.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await future
    except TimeoutError:
        return None
