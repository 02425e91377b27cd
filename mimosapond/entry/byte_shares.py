"""Waiting for a share of a byte budget, in the order of arrival."""

import asyncio
import collections
from typing import TypeAlias, final

from mimosapond.entry.byte_budget import ByteBudget

_Waiter: TypeAlias = tuple[float, asyncio.Future[None]]


@final
class ByteShares:
    """Grants shares of one budget."""

    def __init__(self, budget: ByteBudget, wait_limit_s: float) -> None:
        """Create the queue of a budget.

        Parameters
        ----------
        wait_limit_s
            Longest wait for a share.
        """
        self._budget = budget
        self._wait_limit_s = wait_limit_s
        self._waiters: collections.deque[_Waiter] = collections.deque()

    @property
    def is_contended(self) -> bool:
        """Whether someone waits for a share."""
        return bool(self._waiters)

    @property
    def held_bytes(self) -> float:
        """Bytes of all shares that are held."""
        return self._budget.held_bytes

    async def acquire(self, size_bytes: float) -> bool:
        """Wait for a share.

        Returns
        -------
        bool
            False if none was granted within the limit.
        """
        if not self._waiters and self._budget.try_take(size_bytes):
            return True
        granted = asyncio.get_running_loop().create_future()
        waiter = (size_bytes, granted)
        self._waiters.append(waiter)
        try:
            await asyncio.wait((granted,), timeout=self._wait_limit_s)
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        if granted.done():
            return True
        self._withdraw(waiter)
        return False

    def charge(self, size_bytes: float) -> None:
        """Count bytes that exist already; later shares wait for them."""
        self._budget.take(size_bytes)

    def release(self, size_bytes: float) -> None:
        """Give a share back, and grant those that fit now."""
        self._budget.give_back(size_bytes)
        self._grant()

    def _withdraw(self, waiter: _Waiter) -> None:
        size_bytes, granted = waiter
        if granted.done():
            self.release(size_bytes)
            return
        self._waiters.remove(waiter)
        # A smaller share may fit that waited behind this one.
        self._grant()

    def _grant(self) -> None:
        while self._waiters and self._budget.try_take(self._waiters[0][0]):
            _, granted = self._waiters.popleft()
            granted.set_result(None)
