"""Connections of one host to one member, given to the most urgent first."""

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
from mimosapond.groups.member_port import MemberDialer
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.pooled_connection import PooledConnection
from mimosapond.statements.reply import SessionState

# Pause before the next try when the member has all connections it accepts;
# jittered, as other hosts wait for the same ones.
_FULL_MEMBER_BACK_OFF_S: Final = 0.06
# Probes must not wait for connections on which requests hang.
_PROBE_RESERVE_COUNT: Final = 1


@final
@attrs.frozen
class NoConnection:
    """No connection could be had.

    Parameters
    ----------
    is_reachable
        Whether the member lacks connections only.
    """

    reason: str
    is_reachable: bool


@final
@attrs.define(order=True)
class _Waiter:
    priority: int
    number: int
    future: asyncio.Future[ConnectionLease | NoConnection] = attrs.field(
        order=False,
    )


@final
class ConnectionPool:
    """Open connections to one life of a member."""

    def __init__(
        self,
        record: MemberRecord,
        dialer: MemberDialer,
        load: MemberLoad,
        now: Now,
    ) -> None:
        """Start without connections."""
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
        """Connections that nobody uses."""
        return len(self._idle)

    async def borrow(
        self,
        priority: int,
        wait_s: float,
        values: Mapping[str, str] | None = None,
    ) -> ConnectionLease | NoConnection:
        """Take a connection, waiting up to ``wait_s``.

        Parameters
        ----------
        priority
            The lowest number is served first.
        values
            Session values wanted; a connection that has them is preferred.
        """
        if not self._waiters or priority < self._waiters[0].priority:
            idle = self._take_idle(values or {})
            if idle is not None:
                return self._lease(idle)
        if self._is_closed:
            return NoConnection('the member has gone', is_reachable=False)
        waiter = _Waiter(
            priority,
            next(self._arrival_numbers),
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self._waiters, waiter)
        self._open_wanted()
        try:
            await asyncio.wait((waiter.future,), timeout=wait_s)
        except asyncio.CancelledError:
            self._stop_waiting(waiter)
            raise
        return self._stop_waiting(waiter, return_result=True)

    def trim(self, keep_count: int, idle_s: float) -> None:
        """Close connections that were idle long, beyond ``keep_count``."""
        oldest_allowed_s = self._now() - idle_s
        for connection in tuple(self._idle):
            if not connection.link.is_open:
                self._drop_idle(connection)
            elif (
                self.open_count > keep_count
                and connection.idle_since_s < oldest_allowed_s
            ):
                self._drop_idle(connection)

    def close(self) -> None:
        """Close idle connections now and others when they come back."""
        self._is_closed = True
        for connection in tuple(self._idle):
            self._drop_idle(connection)
        self._fail_waiters(
            NoConnection('the member has gone', is_reachable=False),
        )

    def drop_idle(self) -> None:
        """Close all idle connections, as they may be silent."""
        for connection in tuple(self._idle):
            self._drop_idle(connection)

    def _lease(self, connection: PooledConnection) -> ConnectionLease:
        return ConnectionLease(connection, self._return)

    def _return(self, connection: PooledConnection) -> None:
        """Lend a connection to the next one, or keep it, if it is idle.

        A closed one makes room for another. One that is in a transaction is
        closed: the member rolls it back.
        """
        if self._is_closed or self._is_unsettled(connection):
            connection.link.close()
        if not connection.link.is_open:
            self.open_count -= 1
            self._open_wanted()
            return
        connection.idle_since_s = self._now()
        waiter = self._next_waiter()
        if waiter is None:
            self._idle.append(connection)
        else:
            waiter.future.set_result(self._lease(connection))

    def _is_unsettled(self, connection: PooledConnection) -> bool:
        link = connection.link
        if not link.is_open or link.state is SessionState.idle:
            return False
        state = '' if link.state is None else link.state.value
        logger.bind(connection=link.name, state=state).warning(
            'connection_unsettled'
        )
        return True

    def _drop_idle(self, connection: PooledConnection) -> None:
        self._idle.remove(connection)
        connection.link.close()
        self.open_count -= 1

    def _take_idle(self, values: Mapping[str, str]) -> PooledConnection | None:
        for connection in tuple(self._idle):
            if not connection.link.is_open:
                self._drop_idle(connection)
        if not self._idle:
            return None
        for connection in reversed(self._idle):
            if connection.session_values == values:
                self._idle.remove(connection)
                return connection
        return self._idle.pop()

    def _stop_waiting(
        self, waiter: _Waiter, *, return_result: bool = False
    ) -> ConnectionLease | NoConnection:
        if not waiter.future.done():
            waiter.future.cancel()
            return NoConnection(
                'no connection in time',
                is_reachable=not self._load.is_unreachable,
            )
        found = waiter.future.result()
        if not return_result and isinstance(found, ConnectionLease):
            found.give_back()
        return found

    def _next_waiter(self) -> _Waiter | None:
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

    def _fail_waiters(self, failure: NoConnection) -> None:
        waiter = self._next_waiter()
        while waiter is not None:
            waiter.future.set_result(failure)
            waiter = self._next_waiter()

    def _open_wanted(self) -> None:
        wanted_count = self._waiting_count() - len(self._dial_tasks)
        free_count = (
            self.limit_count + self._probe_reserve_count() - self.open_count
        )
        for _ in range(min(wanted_count, free_count)):
            self.open_count += 1
            task = asyncio.create_task(self._dial())
            self._dial_tasks.add(task)
            task.add_done_callback(self._dial_tasks.discard)

    async def _dial(self) -> None:
        outcome = await self._dialer.dial(self._record)
        match outcome:
            case Rejected(kind=RejectionKind.wrong_member):
                self.open_count -= 1
                self._fail_waiters(
                    NoConnection(outcome.text, is_reachable=False),
                )
            case Rejected():
                self._load.record_contact(None)
                await asyncio.sleep(
                    _FULL_MEMBER_BACK_OFF_S * (1 + random.random())
                )
                self.open_count -= 1
                asyncio.get_running_loop().call_soon(self._open_wanted)
            case LinkLost(reason=reason):
                self.open_count -= 1
                self._load.is_unreachable = True
                logger.bind(member=self._record.member_id, reason=reason).debug(
                    'member_connection_failed'
                )
                self._fail_waiters(NoConnection(reason, is_reachable=False))
            case _:
                self._load.record_contact(None)
                self._return(PooledConnection(outcome, self._load))
