"""Lifecycle of one host: start, serve and shut down gracefully."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, final

from loguru import logger

from mimosapond.host_parts import HostParts

_HANDOVER_POLL_INTERVAL_S: Final = 0.05
# Grace period before the listener for callers stops accepting connections. An
# answer in this period tells a caller with a persistent connection to
# reconnect to another host.
_CLOSE_GRACE_S: Final = 0.5


@final
class Host:
    """Runs the parts of a host until its shutdown is requested."""

    def __init__(self, parts: HostParts) -> None:
        """Set the parts to run; nothing is started."""
        self._parts = parts
        self._leave_requested = asyncio.Event()

    def request_leave(self) -> None:
        """Start the graceful shutdown."""
        self._leave_requested.set()

    async def run(self) -> None:
        """Serve until the shutdown is requested, then drain open work."""
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
        await parts.leave_announcer.announce()
        try:
            async with asyncio.timeout(parts.options.drain_timeout_s):
                await self._await_handovers()
                await asyncio.sleep(_CLOSE_GRACE_S)
        except TimeoutError:
            logger.warning('drain_timeout')
        parts.listeners.stop_accepting('callers')
        await asyncio.gather(
            parts.in_flight.wait_idle(parts.options.drain_timeout_s),
            parts.peer_calls.wait_idle(parts.options.drain_timeout_s),
        )
        logger.info('host_left')

    async def _await_handovers(self) -> None:
        while self._has_pending_handover():
            await asyncio.sleep(_HANDOVER_POLL_INTERVAL_S)

    def _has_pending_handover(self) -> bool:
        """Refuse new transactions and tell whether this host is still needed.

        If another host can take over, this host is needed until it holds no
        term; otherwise, it is needed until all transactions have ended.
        """
        held = self._parts.supervisor.held
        for term in held:
            term.gate.is_host_leaving = True
        if self._parts.leave_announcer.has_successor:
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
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        logger.opt(exception=task.exception()).error('part_failed')
        self.request_leave()
