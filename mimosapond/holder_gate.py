"""Admits work at a term holder and drains it before a change.

A handover closes the gate, because another host serves the group afterwards. A
planned change of the primary only makes new work wait, because this host
continues to serve.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import Final, final

from mimosapond.term_parts import TermParts

_POLL_S: Final = 0.01
# Time after a handover at which the gate reopens. The host that asked for the
# handover may fail before it acquires the next term; this holder then serves
# again.
_REOPEN_AFTER_S: Final = 2


@final
class HolderGate:
    """Decides which new work may start and counts the work in flight.

    Attributes
    ----------
    is_blocked
        Whether the primary is leaving while no other member can replace it
        yet. New work then waits for a limited time and is refused.
    is_host_leaving
        Whether this host is stopping, so that no transaction may begin here.
    """

    def __init__(self, parts: TermParts) -> None:
        """Start with all work admitted."""
        self._parts = parts
        self._in_flight_count = 0
        self._draining_count = 0
        self._closed_until_s: float = 0
        self._is_paused = False
        self.is_blocked = False
        self.is_host_leaving = False

    @property
    def is_open(self) -> bool:
        """Whether new writes may start."""
        return self._parts.clock.monotonic_s() >= self._closed_until_s

    @property
    def admits_transactions(self) -> bool:
        """Whether new interactive transactions may start."""
        is_leaving = self.is_host_leaving or self._draining_count > 0
        return self.is_open and not is_leaving

    @property
    def is_paused(self) -> bool:
        """Whether a planned change of the primary is in progress."""
        return self._is_paused

    @property
    def is_stopped(self) -> bool:
        """Whether new work must wait for a change of the primary."""
        return self._is_paused or self.is_blocked

    @contextlib.contextmanager
    def paused(self) -> Iterator[None]:
        """Make new work wait for the duration of the block."""
        self._is_paused = True
        try:
            yield
        finally:
            self._is_paused = False

    async def wait_until_admitting(
        self,
        is_closed: Callable[[], bool],
        deadline_s: float,
    ) -> None:
        """Wait until new work may start.

        Waiting also ends when the term is closed or at ``deadline_s``. If
        work were refused at once during a handover, the entry host would try
        this host again until it learns of the next holder, and would spend
        its retries.
        """
        await self._wait(
            lambda: self._is_refusing and not is_closed(),
            deadline_s,
        )

    async def wait_until_handed_over(
        self,
        is_closed: Callable[[], bool],
        deadline_s: float,
    ) -> None:
        """Wait until the handover ends.

        Waiting also ends when the term is closed or at ``deadline_s``.
        """
        await self._wait(
            lambda: not self.admits_transactions and not is_closed(),
            deadline_s,
        )

    async def wait_transactions(
        self,
        open_transaction_count: Callable[[], int],
        timeout_s: float,
    ) -> None:
        """Let open transactions end while no new one may begin."""
        deadline_s = self._parts.clock.monotonic_s() + timeout_s
        self._draining_count += 1
        try:
            await self._wait(open_transaction_count, deadline_s)
        finally:
            self._draining_count -= 1

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight.

        Returns
        -------
        bool
            False when requests were still in flight after ``timeout_s``.
        """
        deadline_s = self._parts.clock.monotonic_s() + timeout_s
        return await self._wait(lambda: self._in_flight_count, deadline_s)

    @contextlib.contextmanager
    def in_flight(self) -> Iterator[None]:
        """Count a request as in flight for the duration of the block."""
        self._in_flight_count += 1
        try:
            yield
        finally:
            self._in_flight_count -= 1

    async def drain(
        self,
        open_transaction_count: Callable[[], int],
        timeout_s: float,
    ) -> bool:
        """Wait until all work has ended, then keep the gate closed.

        Writes are still admitted while interactive transactions are open, so
        that a slow transaction does not stop them.

        Returns
        -------
        bool
            False when work was still open after ``timeout_s``. The gate is
            then open again.
        """
        deadline_s = self._parts.clock.monotonic_s() + timeout_s
        self._draining_count += 1
        try:
            is_idle = await self._wait(open_transaction_count, deadline_s)
        finally:
            self._draining_count -= 1
        if not is_idle:
            return False
        self._closed_until_s = deadline_s + _REOPEN_AFTER_S
        is_idle = await self._wait(lambda: self._in_flight_count, deadline_s)
        now_s = self._parts.clock.monotonic_s()
        self._closed_until_s = now_s + _REOPEN_AFTER_S if is_idle else now_s
        return is_idle

    @property
    def _is_refusing(self) -> bool:
        return self.is_stopped or not self.is_open

    async def _wait(
        self,
        count: Callable[[], int],
        deadline_s: float,
    ) -> bool:
        while count():
            if not self._parts.remaining_s(deadline_s):
                return False
            await self._parts.clock.sleep(_POLL_S)
        return True
