"""Pool of the connections of one host to one member.

Each connection belongs to the workspace that it was opened for, and carries
the statements of no other. Waiting borrowers are served by priority, then in
order of arrival.
"""

import asyncio
import functools
from collections.abc import Mapping
from typing import Final, TypeAlias, final

from mimosapond.boot_clock import Now
from mimosapond.groups.connection_dialing import (
    ConnectionDialing,
    DialEnd,
    DialFailed,
    DialRefused,
)
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.connection_waiters import ConnectionWaiters, Waiter
from mimosapond.groups.dial_pace import DialPace
from mimosapond.groups.idle_connections import (
    MIN_REPLACED_AGE_S,
    IdleConnections,
    PlaceClaim,
)
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_port import MemberDialer
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.no_connection import NoConnection
from mimosapond.groups.pooled_connection import PooledConnection
from mimosapond.groups.retry_timer import RetryTimer
from mimosapond.groups.transaction_bounds import TransactionBounds


_Waiter: TypeAlias = Waiter[ConnectionLease | NoConnection]
_CLOSED: Final = NoConnection('the pool is closed', is_reachable=False)


@final
class ConnectionPool:
    """Connections to one incarnation of a member.

    Parameters
    ----------
    dialer
        Opens new connections.
    load
        Learns from each attempt to connect whether the member is reachable.
    """

    def __init__(
        self,
        record: MemberRecord,
        dialer: MemberDialer,
        load: MemberLoad,
        now: Now,
    ) -> None:
        """Create an empty pool; connections are opened on demand."""
        self._load = load
        self._now = now
        self._idle = IdleConnections(now)
        self._bounds = TransactionBounds()
        self._waiters: ConnectionWaiters[ConnectionLease | NoConnection] = (
            ConnectionWaiters(self._allowed_count)
        )
        self._pace = DialPace(now)
        self._dialing = ConnectionDialing(
            record, dialer, load, self._pace, self._end_dial
        )
        self._retry = RetryTimer(self._open_for_waiters)
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._idle.open_count

    @property
    def limit_count(self) -> int:
        """Number of connections that the pool may have open."""
        return self._idle.limit_count

    @limit_count.setter
    def limit_count(self, count: int) -> None:
        self._idle.limit_count = count

    @property
    def idle_count(self) -> int:
        """Number of open connections that are not borrowed."""
        return len(self._idle)

    def has_idle(self, workspace: str) -> bool:
        """Return whether an idle connection belongs to a workspace."""
        return self._idle.has(workspace)

    async def borrow(
        self,
        priority: int,
        wait_s: float,
        values: Mapping[str, str] | None = None,
        workspace: str | None = None,
        *,
        is_transaction: bool = False,
    ) -> ConnectionLease | NoConnection:
        """Borrow a connection, waiting up to ``wait_s``.

        Parameters
        ----------
        priority
            The lowest number is served first; negative numbers are probes.
        values
            Session values that the borrower needs. An idle connection that
            already has exactly these is preferred.
        workspace
            Workspace that the connection must have been opened for; empty for
            statements of callers without one. None for requests of the product
            itself, which may use a connection of any workspace.
        is_transaction
            Whether it is for a transaction, which keeps it between statements.

        Returns
        -------
        ConnectionLease | NoConnection
            ``NoConnection`` after the timeout, if the member cannot be
            reached, or if the pool is closed.
        """
        if not is_transaction or self._allowed_count(workspace or '') > 0:
            connection = self._idle.take(workspace, values or {})
            if connection is not None:
                return self._lease(connection, workspace, is_transaction)
        if self._is_closed:
            return _CLOSED
        waiter = self._waiters.add(
            priority, workspace, self._now(), is_transaction=is_transaction
        )
        self._open_for_waiters()
        try:
            await asyncio.wait((waiter.future,), timeout=wait_s)
        except asyncio.CancelledError:
            self._end_wait(waiter)
            raise
        return self._end_wait(waiter, return_result=True)

    def trim(self, keep_count: int, idle_s: float) -> None:
        """Close idle connections that are not needed.

        Parameters
        ----------
        keep_count
            Number of open connections that are kept however long they idle.
        idle_s
            Idle time after which a connection beyond that number is closed.
            Connections beyond the limit are closed at once.
        """
        self._idle.trim(keep_count, self._now() - idle_s)

    def close(self) -> None:
        """Close idle connections now, and borrowed ones on their release."""
        self._is_closed = True
        self._retry.cancel()
        self._idle.close_all()
        self._waiters.serve_all(_CLOSED)

    def close_idle(self) -> None:
        """Close all idle connections, as they may have become unresponsive."""
        self._idle.close_all()

    def _lease(
        self,
        connection: PooledConnection,
        workspace: str | None,
        is_transaction: bool,
    ) -> ConnectionLease:
        """Lend a connection.

        A request of the product does not make a connection of a workspace
        more likely to be used again by the workspace, so it keeps its age.
        """
        keeps_age = workspace is None and bool(connection.workspace)
        if not is_transaction:
            return ConnectionLease(
                connection,
                functools.partial(self._take_back, keeps_age=keeps_age),
            )
        self._bounds.add(connection.workspace)
        return ConnectionLease(connection, self._end_transaction)

    def _end_transaction(self, connection: PooledConnection) -> None:
        """Take a connection back, and let other transactions begin."""
        self._bounds.remove(connection.workspace)
        self._take_back(connection)
        for waiter in self._waiters.transactions():
            idle = self._idle.take(waiter.workspace, {})
            if idle is not None:
                lease = self._lease(idle, waiter.workspace, is_transaction=True)
                self._waiters.serve(waiter, lease)

    def _allowed_count(self, workspace: str) -> int:
        return self._bounds.allowed_count(workspace, self.limit_count)

    def _take_back(
        self, connection: PooledConnection, *, keeps_age: bool = False
    ) -> None:
        """Pass a released connection to a waiter, or keep it as idle.

        A connection that is closed frees its place under the limit. A
        connection in any state other than idle is closed, upon which the member
        rolls back its transaction.
        """
        waiter = self._waiters.first(connection.workspace)
        may_keep = self._idle.may_keep(is_awaited=waiter is not None)
        is_kept = may_keep and not self._is_closed
        if not connection.link.is_open:
            connection.record_loss()
        if not is_kept or connection.has_unfinished_work():
            connection.link.close()
        if not connection.link.is_open:
            self._idle.release_place()
            self._open_for_waiters()
            return
        if not keeps_age:
            connection.idle_since_s = self._now()
        if waiter is None:
            self._idle.add(connection)
            self._open_for_waiters()
        else:
            self._pass_on(connection, waiter)

    def _pass_on(self, connection: PooledConnection, waiter: _Waiter) -> None:
        """Give a connection to a waiter, or its place to one that is due."""
        other = self._next_without_dial()
        if other is not None and other.goes_before(
            waiter, connection.workspace, self._now()
        ):
            connection.link.close()
            self._idle.release_place()
            self._open_for_waiters()
            return
        lease = self._lease(connection, waiter.workspace, waiter.is_transaction)
        self._waiters.serve(waiter, lease)

    def _next_without_dial(self) -> _Waiter | None:
        """Return the waiter that the next connection is opened for.

        Returns
        -------
        Waiter | None
            None if none waits for one, or if none may be opened now.
        """
        waiters = self._waiters.without_dial(self._pace.dialing_counts)
        waiter = next(waiters, None)
        if waiter is None or self._pace.may_start(is_probe=waiter.is_probe):
            return waiter
        # Without a back-off, the end of a dial leads here again.
        self._retry.start(self._pace.back_off_left_s)
        return None

    def _end_wait(
        self, waiter: _Waiter, *, return_result: bool = False
    ) -> ConnectionLease | NoConnection:
        if not waiter.future.done():
            self._waiters.discard(waiter)
            waiter.future.cancel()
            return NoConnection(
                'no connection became free in time',
                is_reachable=not self._load.is_unreachable,
            )
        outcome = waiter.future.result()
        if not return_result and isinstance(outcome, ConnectionLease):
            outcome.release()
        return outcome

    def _open_for_waiters(self) -> None:
        """Open connections for waiters, as far as places and pace allow."""
        waiter = self._next_without_dial()
        while waiter is not None:
            claim = self._idle.claim_place(
                waiter.arrived_s, is_probe=waiter.is_probe
            )
            if claim is PlaceClaim.soon:
                self._retry.start(MIN_REPLACED_AGE_S)
            if claim is not PlaceClaim.free:
                return
            self._dialing.start(
                waiter.dialed_workspace, self._idle.settle_left_s
            )
            waiter = self._next_without_dial()

    def _end_dial(self, end: DialEnd) -> None:
        match end:
            case PooledConnection():
                if self._idle.open_count - len(self._idle) > 1:
                    # A request that waits hides the end of the process.
                    end.record_doubt()
                self._take_back(end)
            case DialRefused():
                self._idle.open_count -= 1
            case DialFailed(reason=reason):
                self._idle.open_count -= 1
                self._waiters.serve_all(
                    NoConnection(reason, is_reachable=False)
                )
        self._open_for_waiters()
