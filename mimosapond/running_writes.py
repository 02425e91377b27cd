"""Joins tries of one request id that meet at one holder.

A second try that was refused while the first is still running would be told
"not run" although the first may commit.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import final

from mimosapond.bounded_wait import wait_for_future
from mimosapond.completed import Completed
from mimosapond.errors import unknown
from mimosapond.outcome import Outcome


@final
class RunningWrites:
    """Outcomes of the writes in progress, by request id."""

    def __init__(self) -> None:
        """Start with none."""
        self._futures: dict[str, asyncio.Future[Outcome]] = {}

    async def run(
        self,
        request_id: str,
        start: Callable[[], Awaitable[Outcome]],
        timeout_s: float,
    ) -> Outcome:
        """Run ``start``, or wait for the try that already runs."""
        earlier = self._futures.get(request_id)
        if earlier is not None:
            return await self._join(request_id, earlier, timeout_s)
        future: asyncio.Future[Outcome]
        future = asyncio.get_running_loop().create_future()
        self._futures[request_id] = future
        outcome: Outcome = unknown(request_id, 'its first try was interrupted.')
        try:
            outcome = await start()
        finally:
            self._futures.pop(request_id)
            future.set_result(outcome)
        return outcome

    async def _join(
        self,
        request_id: str,
        earlier: asyncio.Future[Outcome],
        timeout_s: float,
    ) -> Outcome:
        outcome = await wait_for_future(asyncio.shield(earlier), timeout_s)
        if outcome is None:
            return unknown(request_id, 'an earlier try is still running.')
        if isinstance(outcome, Completed):
            return dataclasses.replace(outcome, replayed=True)
        return outcome
