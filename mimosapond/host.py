"""Life of one host: start, serve, leave."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, final

from loguru import logger

from mimosapond.host_parts import HostParts

_POLL_S: Final = 0.05
# Callers of kept connections learn from an answer that they must reconnect.
_CLOSE_GRACE_S: Final = 0.5


@final
class Host:
    """Runs the parts of a host until it is asked to leave."""

    def __init__(self, parts: HostParts) -> None:
        """Take the parts that the composition root built."""
        self._parts = parts
        self._leave_requested = asyncio.Event()

    def request_leave(self) -> None:
        """Start the graceful shutdown."""
        self._leave_requested.set()

    async def run(self) -> None:
        """Serve until a leave is requested, then finish what is open."""
        parts = self._parts
        tasks = [
            self._start(parts.document_sync.run()),
            self._start(parts.prober.run()),
            self._start(parts.pusher.run()),
            self._start(parts.anti_entropy.run()),
            self._start(parts.host_list.run()),
            self._start(parts.supervisor.run()),
        ]
        if parts.direct_terms is not None:
            tasks.append(self._start(parts.direct_terms.run()))
        try:
            await self._leave_requested.wait()
            await self._drain()
        finally:
            for task in tasks:
                task.cancel()
            await self._close()

    async def _drain(self) -> None:
        parts = self._parts
        logger.info('host_leaving')
        parts.in_flight.is_draining = True
        await parts.leave.announce()
        try:
            async with asyncio.timeout(parts.options.drain_timeout_s):
                await self._wait_handover()
                await asyncio.sleep(_CLOSE_GRACE_S)
        except TimeoutError:
            logger.warning('drain_timeout')
        parts.listeners.refuse_new('callers')
        await asyncio.gather(
            parts.in_flight.wait_idle(parts.options.drain_timeout_s),
            parts.peer_calls.wait_idle(parts.options.drain_timeout_s),
        )
        logger.info('host_left')

    async def _wait_handover(self) -> None:
        while self._is_needed():
            await asyncio.sleep(_POLL_S)

    def _is_needed(self) -> bool:
        """Tell whether a term is to be handed over, or a transaction open."""
        held = self._parts.supervisor.held
        for term in held:
            term.gate.is_host_leaving = True
        if self._parts.leave.has_successor:
            return bool(held)
        return any(holder.open_transaction_count for holder in held)

    async def _close(self) -> None:
        parts = self._parts
        await parts.listeners.close()
        parts.peers.close()
        parts.target.close()
        parts.platform.close()

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        task.add_done_callback(self._report)
        return task

    def _report(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        logger.opt(exception=task.exception()).error('part_failed')
        self.request_leave()
