"""Counts requests in flight, so that a shutdown can wait for them."""

import asyncio
import contextlib
import functools
from collections.abc import Iterator, Mapping
from typing import Any, final

from mimosapond.peer_port import PeerOperation


@final
class InFlight:
    """Counter of the requests being served at one listener."""

    def __init__(self) -> None:
        """Start without requests."""
        self.count = 0
        self.is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Count one request for the duration of the block."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if not self.count:
                self._idle.set()

    def counted(
        self,
        operations: Mapping[str, PeerOperation],
    ) -> dict[str, PeerOperation]:
        """Return ``operations``, wrapped so that their calls are counted."""
        return {
            name: functools.partial(self._call, operation)
            for name, operation in operations.items()
        }

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight.

        Returns
        -------
        bool
            False when requests are still in flight after ``timeout_s``.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def _call(
        self,
        operation: PeerOperation,
        body: Mapping[str, Any],
    ) -> Mapping[str, Any]:
        with self.request():
            return await operation(body)
