"""Counts the writes of a holder and closes step by step.

A handover closes it for good, as another host goes on with the group. A planned
change of the primary only makes new work wait, as this host goes on.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import Final, final

from mimosapond.term_parts import TermParts

_POLL_S: Final = 0.01
# A host that asked for the handover may die before it acquires the next
# term; the holder then serves again.
_REOPEN_AFTER_S: Final = 2


@final
class HolderGate:
    """Open, closed for new transactions, or closed for all new work.

    Attributes
    ----------
    is_blocked
        The primary is leaving and no other member can replace it yet, so new
        work waits for a moment and is then refused.
    is_host_leaving
        This host is stopping, so no transactions begin here.
    """

    def __init__(self, parts: TermParts) -> None:
        """Start open."""
        self._parts = parts
        self._active_count = 0
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
    def takes_transactions(self) -> bool:
        """Whether new interactive transactions may start."""
        is_leaving = self.is_host_leaving or self._draining_count > 0
        return self.is_open and not is_leaving

    @property
    def is_paused(self) -> bool:
        """Whether a planned change is in progress."""
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

    async def wait_resumed(
        self,
        is_closed: Callable[[], bool],
        deadline_s: float,
    ) -> None:
        """Wait while no new work may start, until closed or a deadline.

        During a handover, an entry host that is refused would come here again
        until it learns of the next holder, and use up its retries.
        """
        await self._wait(
            lambda: self._holds_back and not is_closed(),
            deadline_s,
        )

    async def wait_released(
        self,
        is_closed: Callable[[], bool],
        deadline_s: float,
    ) -> None:
        """Wait while handing over, until the term is closed or a deadline."""
        await self._wait(
            lambda: not self.takes_transactions and not is_closed(),
            deadline_s,
        )

    async def wait_transactions(
        self,
        open_transaction_count: Callable[[], int],
        timeout_s: float,
    ) -> None:
        """Give open transactions time to end while none begins."""
        deadline_s = self._parts.clock.monotonic_s() + timeout_s
        self._draining_count += 1
        try:
            await self._wait(open_transaction_count, deadline_s)
        finally:
            self._draining_count -= 1

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; False after ``timeout_s``."""
        deadline_s = self._parts.clock.monotonic_s() + timeout_s
        return await self._wait(lambda: self._active_count, deadline_s)

    @contextlib.contextmanager
    def active(self) -> Iterator[None]:
        """Count one request in flight."""
        self._active_count += 1
        try:
            yield
        finally:
            self._active_count -= 1

    async def drain(
        self,
        open_transaction_count: Callable[[], int],
        timeout_s: float,
    ) -> bool:
        """Finish all work; open again when it takes too long.

        Writes go on while interactive transactions are open, so a slow one
        does not stop them.
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
        is_idle = await self._wait(lambda: self._active_count, deadline_s)
        now_s = self._parts.clock.monotonic_s()
        self._closed_until_s = now_s + _REOPEN_AFTER_S if is_idle else now_s
        return is_idle

    @property
    def _holds_back(self) -> bool:
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
