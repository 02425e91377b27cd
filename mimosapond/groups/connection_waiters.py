"""Borrowers that wait for a connection, in the order of service.

Waiting borrowers are served by priority, then in order of arrival.
"""

import asyncio
import bisect
import itertools
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Final, Generic, TypeVar, final

import attrs

_Outcome = TypeVar('_Outcome')

# Time for which borrowers of the workspace of a connection may be served before
# one of another workspace, which needs a new connection in its place.
_MAX_OVERTAKEN_S: Final = 0.05


@final
@attrs.define(eq=False)
class Waiter(Generic[_Outcome]):
    """A borrower that waits.

    Parameters
    ----------
    priority
        The lowest number is served first; negative numbers are probes.
    arrival_number
        Orders borrowers of one priority.
    arrived_s
        Time of its arrival.
    workspace
        Workspace of the connections that it may use; None for any.
    is_transaction
        Whether it will keep the connection for a transaction.
    """

    priority: int
    arrival_number: int
    arrived_s: float
    workspace: str | None
    future: asyncio.Future[_Outcome]
    is_transaction: bool

    @property
    def is_probe(self) -> bool:
        """Whether it is served before all statements."""
        return self.priority < 0

    @property
    def dialed_workspace(self) -> str:
        """Workspace that a new connection for it is opened for."""
        return self.workspace or ''

    def accepts(self, workspace: str) -> bool:
        """Return whether it may use a connection of a workspace."""
        return self.workspace is None or self.workspace == workspace

    def goes_before(
        self, other: 'Waiter[_Outcome]', workspace: str, now_s: float
    ) -> bool:
        """Return whether it gets the place of a connection before another.

        Parameters
        ----------
        other
            Borrower that could use the connection as it is.
        workspace
            Workspace of the connection.
        """
        if self.accepts(workspace):
            return False
        is_overtaken = now_s - self.arrived_s > _MAX_OVERTAKEN_S
        return is_overtaken or self.priority < other.priority


@final
class ConnectionWaiters(Generic[_Outcome]):
    """The waiting borrowers of a pool.

    Parameters
    ----------
    allowed_count
        Returns how many more transactions of a workspace may begin. Others
        wait until some have ended.
    """

    def __init__(self, allowed_count: Callable[[str], int]) -> None:
        """Start without borrowers."""
        self._allowed_count = allowed_count
        self._waiters: list[Waiter[_Outcome]] = []
        self._arrival_numbers = itertools.count()

    def add(
        self,
        priority: int,
        workspace: str | None,
        now_s: float,
        *,
        is_transaction: bool,
    ) -> Waiter[_Outcome]:
        """Add a borrower that arrives now."""
        waiter: Waiter[_Outcome] = Waiter(
            priority,
            next(self._arrival_numbers),
            now_s,
            workspace,
            asyncio.get_running_loop().create_future(),
            is_transaction,
        )
        bisect.insort(self._waiters, waiter, key=_service_order)
        return waiter

    def discard(self, waiter: Waiter[_Outcome]) -> None:
        """Remove a borrower if it waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def serve(self, waiter: Waiter[_Outcome], outcome: _Outcome) -> None:
        """End the wait of a borrower."""
        self._waiters.remove(waiter)
        if not waiter.future.done():
            waiter.future.set_result(outcome)

    def serve_all(self, outcome: _Outcome) -> None:
        """End all waits."""
        for waiter in tuple(self._waiters):
            self.serve(waiter, outcome)

    def first(self, workspace: str) -> Waiter[_Outcome] | None:
        """Return the next one that may use a connection of a workspace."""
        return next(
            (
                waiter
                for waiter in self._waiters
                if waiter.accepts(workspace) and self._may_begin(waiter)
            ),
            None,
        )

    def transactions(self) -> Iterator[Waiter[_Outcome]]:
        """Return transactions that may begin, in order."""
        for waiter in tuple(self._waiters):
            if waiter.is_transaction and self._may_begin(waiter):
                yield waiter

    def without_dial(
        self, dialing_counts: Mapping[str, int]
    ) -> Iterator[Waiter[_Outcome]]:
        """Return those for whom no connection is being opened, in order.

        Parameters
        ----------
        dialing_counts
            Number of connections that are being opened, by workspace.
        """
        left_counts = Counter(dialing_counts)
        begun_counts: Counter[str] = Counter()
        for waiter in tuple(self._waiters):
            if waiter.is_transaction:
                if not self._may_begin(
                    waiter, begun_counts[waiter.dialed_workspace]
                ):
                    continue
                begun_counts[waiter.dialed_workspace] += 1
            if left_counts[waiter.dialed_workspace] > 0:
                left_counts[waiter.dialed_workspace] -= 1
            else:
                yield waiter

    def _may_begin(
        self, waiter: Waiter[_Outcome], begun_count: int = 0
    ) -> bool:
        """Return whether the bounds of transactions allow to serve it."""
        if not waiter.is_transaction:
            return True
        return self._allowed_count(waiter.dialed_workspace) > begun_count


def _service_order(waiter: Waiter[_Outcome]) -> tuple[int, int]:
    return (waiter.priority, waiter.arrival_number)
