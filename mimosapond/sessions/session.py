"""A caller's session: its transaction, values and prepared statements."""

import asyncio
from typing import Final, final

from mimosapond.groups.log_position import LogPosition
from mimosapond.routing.caller_access import CallerAccess
from mimosapond.routing import failures
from mimosapond.routing.session_definitions import SessionDefinitions
from mimosapond.statements.reply import Failure, Reply, SessionState, Success
from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Execute,
    Rollback,
    Statement,
)
from mimosapond.sessions.caller_identity import CallerIdentity
from mimosapond.sessions.definition_statements import apply_definition, is_read
from mimosapond.sessions.idle_timer import IdleTimer
from mimosapond.sessions.refusal_log import log_refusal
from mimosapond.sessions.session_services import SessionServices
from mimosapond.sessions.transaction import Transaction
from mimosapond.routing.work import (
    ExecutableStatement,
    PreparedCall,
    SessionFloor,
    Work,
)

_MS_PER_S: Final = 1000
_NO_STATEMENT: Final = DirectStatement('', is_write=False)


@final
class Session:
    """Runs the statements of one caller, one at a time."""

    def __init__(
        self, database: str, services: SessionServices, key_digest: str = ''
    ) -> None:
        """Create a session that is not in a transaction.

        Parameters
        ----------
        database
            Name of the database, which determines the route.
        key_digest
            Digest of the caller's key; empty without a key.
        """
        self._caller = CallerIdentity(
            database, key_digest, services.configuration
        )
        self._services = services
        self._definitions = SessionDefinitions()
        self._transaction: Transaction | None = None
        self._idle_timer = IdleTimer(self._on_idle_timeout)
        self._floor: SessionFloor | None = None
        self._access: CallerAccess | None = None
        # Why this host rolled back a transaction, until the caller is told.
        self._unreported_end: Failure | None = None
        # Task that runs a statement, and whether ``interrupt`` cancelled it.
        self._running_task: asyncio.Task[object] | None = None
        self._is_interrupted = False
        self.state = SessionState.idle

    @property
    def group(self) -> str:
        """Name of the group that serves the database; empty without a route."""
        return self._caller.group

    @property
    def is_revoked(self) -> bool:
        """Whether the configuration in force does not know the key."""
        return self._caller.is_revoked

    async def execute(self, request_id: str, statement: Statement) -> Reply:
        """Run one statement and return its reply.

        Afterwards, ``state`` is the state of the session after the statement.
        """
        self._idle_timer.stop()
        reply = await self._execute_interruptibly(request_id, statement)
        log_refusal(request_id, self._caller.database, reply)
        if self.state is SessionState.in_transaction:
            limit_ms = self._services.configuration.transaction_idle_timeout_ms
            self._idle_timer.start(limit_ms / _MS_PER_S)
        return reply

    def interrupt(self) -> None:
        """Answer a running statement now, with what is certain about it."""
        if self._running_task is not None:
            self._is_interrupted = True
            self._running_task.cancel()

    def roll_back_revoked(self) -> None:
        """Roll back an open transaction because the key was revoked."""
        if self.state is SessionState.in_transaction:
            self._idle_timer.stop()
            self._fail_transaction()
            self._unreported_end = failures.REVOKED_IN_TRANSACTION

    def close(self) -> None:
        """Roll back an open transaction after the caller has disconnected."""
        self._idle_timer.stop()
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
        if is_read(self._definitions, statement):
            return failures.READ_UNANSWERED
        return failures.WRITE_UNANSWERED

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
                return self._define(statement)

    def _reject_in_failed_state(self) -> Failure:
        reason = self._unreported_end or failures.TRANSACTION_FAILED
        self._unreported_end = None
        return reason

    def _define(self, statement: Statement) -> Reply:
        if self._transaction is None and self.is_revoked:
            return failures.UNKNOWN_KEY
        return apply_definition(self._definitions, statement)

    def _begin(self, begin: Begin) -> Reply:
        if self.state is not SessionState.idle:
            return failures.IN_TRANSACTION
        access = self._caller.find_access()
        if isinstance(access, Failure):
            return access
        # The transaction keeps this route and workspace; changed ones take
        # effect with the next transaction.
        self._access = access
        self._transaction = Transaction(begin, self._services.routing)
        self.state = SessionState.in_transaction
        return Success()

    async def _commit(self, request_id: str) -> Reply:
        if self.state is SessionState.failed:
            self._end_transaction()
            return failures.ROLLED_BACK
        if self._transaction is None or self._access is None:
            return failures.NOT_IN_TRANSACTION
        if self._is_ended_by_revocation(self._transaction):
            self._end_transaction()
            return failures.ROLLED_BACK
        work = self._work(request_id, _NO_STATEMENT, self._access)
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
        if self._transaction is not None and self._access is not None:
            if self._is_ended_by_revocation(self._transaction):
                self._fail_transaction()
                return failures.REVOKED_IN_TRANSACTION
            work = self._work(request_id, statement, self._access)
            reply = await self._transaction.run(work)
            if isinstance(reply, Failure):
                self._fail_transaction()
            return reply
        access = self._caller.find_access()
        if isinstance(access, Failure):
            return access
        work = self._work(request_id, statement, access)
        if not statement.is_write:
            return await self._services.reads.run(work)
        reply, position = await self._services.routing.writes.run(work)
        if position is not None:
            self._raise_floor(position)
        return reply

    def _is_ended_by_revocation(self, transaction: Transaction) -> bool:
        # A transaction of which nothing has run yet counts as a new one.
        return self.is_revoked and (
            self._services.is_revocation_strict or not transaction.is_open
        )

    def _work(
        self,
        request_id: str,
        statement: ExecutableStatement,
        access: CallerAccess,
    ) -> Work:
        route = access.route
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
            workspace=access.workspace,
            key_digest=self._caller.key_digest,
            configuration_version=access.configuration_version,
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
        self._access = None
        self._unreported_end = None
        self.state = SessionState.idle

    def _on_idle_timeout(self) -> None:
        if self.state is SessionState.in_transaction:
            self._fail_transaction()
            self._unreported_end = failures.IDLE_TIMEOUT
