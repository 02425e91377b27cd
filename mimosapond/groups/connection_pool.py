"""Pool of the connections of one host to one member.

Waiting borrowers are served by priority, then in order of arrival.
"""

import asyncio
import heapq
import itertools
import random
from collections.abc import Mapping
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.member_answer import LinkLost, Rejected, RejectionKind
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_port import MemberConnection, MemberDialer
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.pooled_connection import PooledConnection
from mimosapond.statements.reply import SessionState

# Back-off before the next attempt when the member has reached its connection
# limit. It is jittered, because other hosts compete for the same connections.
_CONNECTION_LIMIT_BACK_OFF_S: Final = 0.06
# Connections that may be opened beyond the limit while a probe waits, so that
# probes do not wait for connections whose requests are stuck.
_PROBE_RESERVE_COUNT: Final = 1


@final
@attrs.frozen
class NoConnection:
    """No connection could be borrowed.

    Parameters
    ----------
    reason
        Cause for log lines.
    is_reachable
        True if the member is reachable and only lacks free connections.
    """

    reason: str
    is_reachable: bool


@final
@attrs.define(order=True)
class _Waiter:
    priority: int
    arrival_number: int
    future: asyncio.Future[ConnectionLease | NoConnection] = attrs.field(
        order=False,
    )


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
        self._record = record
        self._dialer = dialer
        self._load = load
        self._now = now
        self._idle: list[PooledConnection] = []
        self._waiters: list[_Waiter] = []
        self._arrival_numbers = itertools.count()
        self._dial_tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False
        self.open_count = 0
        self.limit_count = 1

    @property
    def idle_count(self) -> int:
        """Number of open connections that are not borrowed."""
        return len(self._idle)

    async def borrow(
        self,
        priority: int,
        wait_s: float,
        values: Mapping[str, str] | None = None,
        workspace: str = '',
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
            Workspace whose statements the connection must have been opened
            for; empty in a deployment without workspaces.

        Returns
        -------
        ConnectionLease | NoConnection
            ``NoConnection`` after the timeout, if the member cannot be
            reached, or if the pool is closed.
        """
        if not self._waiters or priority < self._waiters[0].priority:
            connection = self._pop_idle(values or {})
            if connection is not None:
                return self._lease(connection)
        if self._is_closed:
            return NoConnection('the pool is closed', is_reachable=False)
        waiter = _Waiter(
            priority,
            next(self._arrival_numbers),
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self._waiters, waiter)
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
        """
        idle_before_s = self._now() - idle_s
        for connection in tuple(self._idle):
            if not connection.link.is_open:
                self._close_idle_connection(connection)
            elif (
                self.open_count > keep_count
                and connection.idle_since_s < idle_before_s
            ):
                self._close_idle_connection(connection)

    def close(self) -> None:
        """Close idle connections now, and borrowed ones on their release."""
        self._is_closed = True
        for connection in tuple(self._idle):
            self._close_idle_connection(connection)
        self._refuse_waiters(
            NoConnection('the pool is closed', is_reachable=False),
        )

    def close_idle(self) -> None:
        """Close all idle connections, as they may have become unresponsive."""
        for connection in tuple(self._idle):
            self._close_idle_connection(connection)

    def _lease(self, connection: PooledConnection) -> ConnectionLease:
        return ConnectionLease(connection, self._take_back)

    def _take_back(self, connection: PooledConnection) -> None:
        """Pass a released connection to the next waiter, or keep it as idle.

        A connection that is closed frees its place under the limit. A
        connection in any state other than idle is closed, upon which the member
        rolls back its transaction.
        """
        if self._is_closed or self._has_unfinished_work(connection):
            connection.link.close()
        if not connection.link.is_open:
            self.open_count -= 1
            self._open_for_waiters()
            return
        connection.idle_since_s = self._now()
        waiter = self._pop_waiter()
        if waiter is None:
            self._idle.append(connection)
        else:
            waiter.future.set_result(self._lease(connection))

    def _has_unfinished_work(self, connection: PooledConnection) -> bool:
        """Return whether an open connection is not idle, and log it if so."""
        link = connection.link
        if not link.is_open or link.state is SessionState.idle:
            return False
        state = '' if link.state is None else link.state.value
        logger.bind(connection=link.name, state=state).warning(
            'connection_unsettled'
        )
        return True

    def _close_idle_connection(self, connection: PooledConnection) -> None:
        self._idle.remove(connection)
        connection.link.close()
        self.open_count -= 1

    def _pop_idle(self, values: Mapping[str, str]) -> PooledConnection | None:
        for connection in tuple(self._idle):
            if not connection.link.is_open:
                self._close_idle_connection(connection)
        if not self._idle:
            return None
        for connection in reversed(self._idle):
            if connection.session_values == values:
                self._idle.remove(connection)
                return connection
        return self._idle.pop()

    def _end_wait(
        self, waiter: _Waiter, *, return_result: bool = False
    ) -> ConnectionLease | NoConnection:
        if not waiter.future.done():
            waiter.future.cancel()
            return NoConnection(
                'no connection became free in time',
                is_reachable=not self._load.is_unreachable,
            )
        outcome = waiter.future.result()
        if not return_result and isinstance(outcome, ConnectionLease):
            outcome.release()
        return outcome

    def _pop_waiter(self) -> _Waiter | None:
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if not waiter.future.done():
                return waiter
        return None

    def _waiting_count(self) -> int:
        return sum(not waiter.future.done() for waiter in self._waiters)

    def _probe_reserve_count(self) -> int:
        is_probe_waiting = any(
            waiter.priority < 0 and not waiter.future.done()
            for waiter in self._waiters
        )
        return _PROBE_RESERVE_COUNT if is_probe_waiting else 0

    def _refuse_waiters(self, failure: NoConnection) -> None:
        waiter = self._pop_waiter()
        while waiter is not None:
            waiter.future.set_result(failure)
            waiter = self._pop_waiter()

    def _open_for_waiters(self) -> None:
        missing_count = self._waiting_count() - len(self._dial_tasks)
        allowed_count = (
            self.limit_count + self._probe_reserve_count() - self.open_count
        )
        for _ in range(min(missing_count, allowed_count)):
            self.open_count += 1
            task = asyncio.create_task(self._dial())
            self._dial_tasks.add(task)
            task.add_done_callback(self._dial_tasks.discard)

    async def _dial_safely(self) -> MemberConnection | Rejected | LinkLost:
        """Dial; an unexpected error must not keep its place under the limit."""
        try:
            return await self._dialer.dial(self._record)
        except Exception as error:  # noqa: BLE001 -- waiters need an answer
            logger.bind(member=self._record.member_id).exception('dial_failed')
            return LinkLost(repr(error), was_sent=False)

    async def _dial(self) -> None:
        outcome = await self._dial_safely()
        match outcome:
            case Rejected(kind=RejectionKind.wrong_member):
                self.open_count -= 1
                self._refuse_waiters(
                    NoConnection(outcome.text, is_reachable=False),
                )
            case Rejected():
                self._load.record_contact(None)
                await asyncio.sleep(
                    _CONNECTION_LIMIT_BACK_OFF_S * (1 + random.random())
                )
                self.open_count -= 1
                asyncio.get_running_loop().call_soon(self._open_for_waiters)
            case LinkLost(reason=reason):
                self.open_count -= 1
                self._load.is_unreachable = True
                logger.bind(member=self._record.member_id, reason=reason).debug(
                    'member_connection_failed'
                )
                self._refuse_waiters(NoConnection(reason, is_reachable=False))
            case _:
                self._load.record_contact(None)
                self._take_back(PooledConnection(outcome, self._load))
