"""Joins concurrent attempts of one request id at a term holder.

If a second attempt were refused while the first is still running, the caller
would be told that the request has not run, although the first attempt may still
commit.
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
    """Writes in flight, by request id."""

    def __init__(self) -> None:
        """Start without writes in flight."""
        self._futures: dict[str, asyncio.Future[Outcome]] = {}

    async def run(
        self,
        request_id: str,
        start: Callable[[], Awaitable[Outcome]],
        timeout_s: float,
    ) -> Outcome:
        """Run ``start``, or wait for the attempt that is in flight.

        Parameters
        ----------
        start
            Makes the first attempt.
        timeout_s
            Limits the wait for an earlier attempt; the outcome is unknown
            after it.
        """
        earlier = self._futures.get(request_id)
        if earlier is not None:
            return await self._join(request_id, earlier, timeout_s)
        future: asyncio.Future[Outcome]
        future = asyncio.get_running_loop().create_future()
        self._futures[request_id] = future
        outcome: Outcome = unknown(
            request_id, 'its first attempt was interrupted.'
        )
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
            return unknown(request_id, 'an earlier attempt is still running.')
        if isinstance(outcome, Completed):
            return dataclasses.replace(outcome, replayed=True)
        return outcome
