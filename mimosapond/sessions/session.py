"""A caller's session: its transaction, values and prepared statements."""

import asyncio
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.route import Route
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.routing.read_router import ReadRouter
from mimosapond.routing import failures
from mimosapond.routing.session_definitions import SessionDefinitions
from mimosapond.statements.reply import (
    Failure,
    FailureKind,
    Reply,
    SessionState,
    Success,
)
from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Execute,
    Deallocate,
    Prepare,
    Rollback,
    SetValue,
    Statement,
    MalformedStatement,
)
from mimosapond.sessions.serving_limits import ServingLimits
from mimosapond.sessions.transaction import Transaction, TransactionRouting
from mimosapond.routing.work import (
    ExecutableStatement,
    PreparedCall,
    SessionFloor,
    Work,
)

_MS_PER_S: Final = 1000
_NO_STATEMENT: Final = DirectStatement('', is_write=False)


@final
@attrs.frozen
class SessionServices:
    """The parts of a host that all its sessions share.

    Parameters
    ----------
    limits
        Says until when statements are begun and answered.
    """

    configuration: ActiveConfiguration
    directory: GroupDirectory
    reads: ReadRouter
    routing: TransactionRouting
    limits: ServingLimits


@final
class Session:
    """Runs the statements of one caller, one at a time."""

    def __init__(self, database: str, services: SessionServices) -> None:
        """Create a session that is not in a transaction.

        Parameters
        ----------
        database
            Name of the database, which determines the route.
        """
        self._database = database
        self._services = services
        self._definitions = SessionDefinitions()
        self._transaction: Transaction | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._floor: SessionFloor | None = None
        self._route: Route | None = None
        self._idle_limit_exceeded = False
        # Task that runs a statement, and whether ``interrupt`` cancelled it.
        self._running_task: asyncio.Task[object] | None = None
        self._is_interrupted = False
        self.state = SessionState.idle

    @property
    def group(self) -> str:
        """Name of the group that serves the database; empty without a route."""
        route = self._services.configuration.route(self._database)
        return '' if route is None else route.group

    async def execute(self, request_id: str, statement: Statement) -> Reply:
        """Run one statement and return its reply.

        Afterwards, ``state`` is the state of the session after the statement.
        """
        self._stop_idle_timer()
        reply = await self._execute_interruptibly(request_id, statement)
        if isinstance(reply, Failure) and reply.kind in {
            FailureKind.unknown,
            FailureKind.not_run,
        }:
            logger.bind(
                request=request_id,
                database=self._database,
                kind=reply.kind.value,
                text=reply.text,
            ).info('request_refused')
        if self.state is SessionState.in_transaction:
            self._start_idle_timer()
        return reply

    def interrupt(self) -> None:
        """Answer a running statement now, with what is certain about it."""
        if self._running_task is not None:
            self._is_interrupted = True
            self._running_task.cancel()

    def close(self) -> None:
        """Roll back an open transaction after the caller has disconnected."""
        self._stop_idle_timer()
        self._end_transaction()

    async def _execute_interruptibly(
        self, request_id: str, statement: Statement
    ) -> Reply:
        if not self._may_begin(statement):
            return self._refuse_at_stop(statement)
        task = self._running_task = asyncio.current_task()
        try:
            return await self._execute(request_id, statement)
        except asyncio.CancelledError:
            if task is None or not self._is_interrupted:
                raise
            self._is_interrupted = False
            task.uncancel()
            return self._reply_to_interrupted(statement)
        finally:
            self._running_task = None

    def _reply_to_interrupted(self, statement: Statement) -> Reply:
        if isinstance(statement, Commit):
            self._end_transaction()
            return failures.WRITE_UNANSWERED
        if self._transaction is not None:
            self._fail_transaction()
            return failures.ROLLED_BACK
        if self._is_read(statement):
            return failures.READ_UNANSWERED
        return failures.WRITE_UNANSWERED

    def _is_read(self, statement: Statement) -> bool:
        match statement:
            case DirectStatement(is_write=is_write):
                return not is_write
            case Execute(name=name):
                shape = self._definitions.prepared_shapes.get(name)
                return shape is not None and not shape.is_write
            case _:
                return False

    def _may_begin(self, statement: Statement) -> bool:
        # In the failed state, statements end at this host.
        return (
            self.state is SessionState.failed
            or self._services.limits.may_begin(statement)
        )

    def _refuse_at_stop(self, statement: Statement) -> Failure:
        """Refuse a statement that would not end before the host does."""
        if self._transaction is None:
            return failures.HOST_STOPPING
        if isinstance(statement, Commit):
            self._end_transaction()
        else:
            self._fail_transaction()
        return failures.ROLLED_BACK

    async def _execute(self, request_id: str, statement: Statement) -> Reply:
        match statement:
            case Begin():
                return self._begin(statement)
            case Commit():
                return await self._commit(request_id)
            case Rollback():
                return self._roll_back()
            case _ if self.state is SessionState.failed:
                return self._reject_in_failed_state()
            case DirectStatement():
                return await self._run_statement(request_id, statement)
            case Execute(name=name, arguments=arguments):
                shape = self._definitions.prepared_shapes.get(name)
                if shape is None:
                    return failures.NO_SUCH_STATEMENT
                call = PreparedCall(shape, arguments)
                return await self._run_statement(request_id, call)
            case _:
                return self._update_definitions(statement)

    def _reject_in_failed_state(self) -> Failure:
        if self._idle_limit_exceeded:
            self._idle_limit_exceeded = False
            return failures.IDLE_TIMEOUT
        return failures.TRANSACTION_FAILED

    def _update_definitions(self, statement: Statement) -> Reply:
        match statement:
            case SetValue(name=name, value=value):
                self._definitions.values[name] = value
            case Prepare(name=name, shape=shape):
                self._definitions.prepared_shapes[name] = shape
            case Deallocate(name=name):
                if self._definitions.prepared_shapes.pop(name, None) is None:
                    return failures.NO_SUCH_STATEMENT
            case MalformedStatement(problem=problem):
                return Failure(FailureKind.malformed, problem)
        return Success()

    def _begin(self, begin: Begin) -> Reply:
        if self.state is not SessionState.idle:
            return failures.IN_TRANSACTION
        route = self._services.configuration.route(self._database)
        if route is None:
            return failures.NO_SUCH_DATABASE
        # The transaction keeps this route; a changed route takes effect with
        # the next transaction.
        self._route = route
        self._transaction = Transaction(begin, self._services.routing)
        self.state = SessionState.in_transaction
        return Success()

    async def _commit(self, request_id: str) -> Reply:
        if self.state is SessionState.failed:
            self._end_transaction()
            return failures.ROLLED_BACK
        if self._transaction is None or self._route is None:
            return failures.NOT_IN_TRANSACTION
        work = self._work(request_id, _NO_STATEMENT, self._route)
        reply, position = await self._transaction.commit(work)
        if position is not None:
            self._raise_floor(position)
        self._end_transaction()
        return reply

    def _roll_back(self) -> Reply:
        if self.state is SessionState.idle:
            return failures.NOT_IN_TRANSACTION
        self._end_transaction()
        return Success()

    async def _run_statement(
        self, request_id: str, statement: ExecutableStatement
    ) -> Reply:
        if self._transaction is not None and self._route is not None:
            work = self._work(request_id, statement, self._route)
            reply = await self._transaction.run(work)
            if isinstance(reply, Failure):
                self._fail_transaction()
            return reply
        route = self._services.configuration.route(self._database)
        if route is None:
            return failures.NO_SUCH_DATABASE
        work = self._work(request_id, statement, route)
        if not statement.is_write:
            return await self._services.reads.run(work)
        reply, position = await self._services.routing.writes.run(work)
        if position is not None:
            self._raise_floor(position)
        return reply

    def _work(
        self, request_id: str, statement: ExecutableStatement, route: Route
    ) -> Work:
        arrived_s = self._services.routing.now()
        return Work(
            request_id=request_id,
            statement=statement,
            values=dict(self._definitions.values),
            route=route,
            group=self._services.directory.get_or_create(route.group),
            arrived_s=arrived_s,
            deadline_s=self._services.limits.cap(
                arrived_s + route.statement_timeout_ms / _MS_PER_S
            ),
            floor=self._floor,
        )

    def _raise_floor(self, position: LogPosition) -> None:
        self._floor = SessionFloor(position, self._services.routing.now())

    def _fail_transaction(self) -> None:
        if self._transaction is not None:
            self._transaction.abandon()
        self._transaction = None
        self.state = SessionState.failed

    def _end_transaction(self) -> None:
        if self._transaction is not None:
            self._transaction.abandon()
        self._transaction = None
        self._route = None
        self._idle_limit_exceeded = False
        self.state = SessionState.idle

    def _start_idle_timer(self) -> None:
        limit_ms = self._services.configuration.transaction_idle_timeout_ms
        self._idle_timer = asyncio.get_running_loop().call_later(
            limit_ms / _MS_PER_S, self._on_idle_timeout
        )

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _on_idle_timeout(self) -> None:
        if self.state is SessionState.in_transaction:
            self._fail_transaction()
            self._idle_limit_exceeded = True
