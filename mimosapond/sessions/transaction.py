"""A caller's transaction, pinned to one connection of one member."""

import asyncio
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.connection_pool import NoConnection
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import (
    NOT_RUN,
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.pooled_connection import PooledConnection
from mimosapond.routing.member_choice import MemberChoice
from mimosapond.routing import failures
from mimosapond.routing.primary_path import (
    LocalPath,
    PrimaryPaths,
    RelayPath,
)
from mimosapond.routing.read_positions import ReadPositions
from mimosapond.routing.relay_port import (
    Relayed,
    RelayedTransaction,
    RelayLost,
)
from mimosapond.routing.statement_runner import (
    RestoreFailed,
    restore_values,
    run_work,
)
from mimosapond.routing.work import Work
from mimosapond.routing.write_router import BUSY_PAUSE_S, WriteRouter
from mimosapond.statements.reply import Failure, Reply, SessionState, Success
from mimosapond.statements.statement import Begin, Commit

_BORROW_S: Final = 0.2
_ROLLBACK_LIMIT_S: Final = 1.0


@final
@attrs.frozen
class TransactionRouting:
    """What finds a member for a transaction."""

    positions: ReadPositions
    choice: MemberChoice
    paths: PrimaryPaths
    writes: WriteRouter
    now: Now


@final
class Transaction:
    """Opened at a member only with its first statement.

    So a connection, of which members have few, is held no longer than needed,
    and a member that refuses can be replaced by another unnoticed.
    """

    def __init__(self, begin: Begin, routing: TransactionRouting) -> None:
        """Remember the kind of transaction."""
        self._begin = begin
        self._routing = routing
        self._member: Member | None = None
        self._connection: PooledConnection | None = None
        self._relayed: RelayedTransaction | None = None
        self._has_run = False
        self._has_written = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, work: Work) -> Reply:
        """Run one statement; after a failure the transaction is over."""
        while True:
            opened = await self._opened(work)
            match opened:
                case Failure():
                    return opened
                case PooledConnection():
                    reply = await self._run_on(opened, work)
                case _:
                    reply = await self._run_relayed(opened, work)
            if reply is not None:
                return reply

    async def commit(self, work: Work) -> tuple[Reply, LogPosition | None]:
        """End the transaction; its writes are kept if this succeeds."""
        while True:
            opened = await self._opened(work)
            match opened:
                case Failure():
                    return opened, None
                case PooledConnection():
                    outcome = await self._commit_on(opened, work)
                case _:
                    return await self._commit_relayed(opened, work)
            if outcome is not None:
                return outcome
            await asyncio.sleep(BUSY_PAUSE_S)

    def abandon(self) -> None:
        """Roll back at the member, if anything was opened there."""
        if self._relayed is not None:
            self._relayed.abandon()
            self._relayed = None
        if self._connection is None:
            return
        task = asyncio.create_task(self._roll_back(*self._release()))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_on(
        self, connection: PooledConnection, work: Work
    ) -> Reply | None:
        sent_s = self._routing.now()
        try:
            answer = await run_work(
                connection, work, None, work.deadline_s - sent_s
            )
        except RestoreFailed as error:
            answer = error.answer
        return await self._judge(work, sent_s, answer)

    async def _run_relayed(
        self, relayed: RelayedTransaction, work: Work
    ) -> Reply | None:
        outcome = await relayed.run(work)
        match outcome:
            case Relayed(reply=Success() as reply):
                self._has_run = True
                self._has_written = self._has_written or work.access.is_write
                return reply
            case Relayed(reply=reply):
                self._relayed = None
                return reply
            case RelayLost(was_sent=False) if not self._has_run:
                self.abandon()
                return None
            case RelayLost(reason=reason):
                self._log_loss(work, reason)
                self.abandon()
                return failures.ROLLED_BACK

    async def _commit_on(
        self, connection: PooledConnection, work: Work
    ) -> tuple[Reply, LogPosition | None] | None:
        sent_s = self._routing.now()
        limit_s = work.deadline_s - sent_s
        answer = await connection.ask(
            connection.link.run(work.request_id, Commit(), None, limit_s),
            is_write=self._has_written,
        )
        return self._judge_commit(work, sent_s, answer)

    async def _commit_relayed(
        self, relayed: RelayedTransaction, work: Work
    ) -> tuple[Reply, LogPosition | None]:
        outcome = await relayed.commit(work)
        match outcome:
            case Relayed(reply=reply, position=position):
                self._relayed = None
                return reply, position
            case RelayLost(reason=reason, was_sent=was_sent):
                self._log_loss(work, reason)
                self.abandon()
                if was_sent and self._has_written:
                    return failures.WRITE_UNANSWERED, None
                return failures.ROLLED_BACK, None

    async def _opened(
        self, work: Work
    ) -> PooledConnection | RelayedTransaction | Failure:
        if self._connection is not None:
            return self._connection
        if self._relayed is not None:
            return self._relayed
        if self._begin.is_read_only:
            return await self._open_reading(work)
        return await self._open_writing(work)

    async def _open_writing(
        self, work: Work
    ) -> PooledConnection | RelayedTransaction | Failure:
        while True:
            path = await self._routing.paths.find(work)
            match path:
                case Failure():
                    return path
                case RelayPath(relay=relay):
                    self._relayed = relay.open(self._begin)
                    return self._relayed
                case LocalPath(member=member, connection=connection):
                    if await self._begin_at(work, member, connection):
                        return connection

    async def _begin_at(
        self, work: Work, member: Member, connection: PooledConnection
    ) -> bool:
        asked_s = self._routing.now()
        answer = await self._start(work, connection, None)
        match answer:
            case Completed(position=position):
                work.group.prove_primary(member, asked_s, position)
                self._member = member
                self._connection = connection
                return True
            case Rejected(kind=RejectionKind.not_primary):
                work.group.doubt_primary(member, 'it refused to begin')
            case _:
                await asyncio.sleep(BUSY_PAUSE_S)
        member.pool.give_back(connection)
        return False

    async def _open_reading(self, work: Work) -> PooledConnection | Failure:
        position = await self._routing.positions.find(work)
        if position is None:
            return failures.NO_FRESH_MEMBER
        tried: list[Member] = []
        while self._routing.now() < work.deadline_s:
            member = self._routing.choice.choose(work.group, position, tried)
            if member is None:
                tried.clear()
                await asyncio.sleep(BUSY_PAUSE_S)
                continue
            tried.append(member)
            connection = await self._open_at(work, member, position)
            if connection is not None:
                return connection
        return failures.NO_CONNECTION

    async def _open_at(
        self, work: Work, member: Member, position: LogPosition
    ) -> PooledConnection | None:
        connection = await member.pool.borrow(
            work.route.priority, _BORROW_S, work.definitions.values
        )
        if isinstance(connection, NoConnection):
            return None
        answer = await self._start(work, connection, position)
        if isinstance(answer, Completed):
            self._member = member
            self._connection = connection
            return connection
        member.pool.give_back(connection)
        return None

    async def _start(
        self,
        work: Work,
        connection: PooledConnection,
        position: LogPosition | None,
    ) -> MemberAnswer:
        limit_s = max(work.deadline_s - self._routing.now(), 0)
        try:
            await restore_values(connection, work.definitions, limit_s)
        except RestoreFailed as error:
            return error.answer
        return await connection.ask(
            connection.link.begin(self._begin, position, limit_s),
        )

    async def _judge(
        self, work: Work, sent_s: float, answer: MemberAnswer
    ) -> Reply | None:
        match answer:
            case Completed(rows=rows, signature=signature):
                self._note_success(work, sent_s, answer)
                return Success(rows, signature)
            case Rejected(kind=kind, state=state) if kind in NOT_RUN:
                return await self._judge_not_run(work, kind, state)
            case Rejected():
                self.abandon()
                return failures.from_rejection(answer)
            case LinkLost(reason=reason):
                self._log_loss(work, reason)
                self.abandon()
                return failures.ROLLED_BACK

    async def _judge_not_run(
        self, work: Work, kind: RejectionKind, state: SessionState
    ) -> Reply | None:
        is_open = state is SessionState.in_transaction
        if kind is RejectionKind.not_primary and self._member is not None:
            work.group.doubt_primary(self._member, 'it refused a statement')
        if kind is RejectionKind.busy and is_open:
            await asyncio.sleep(BUSY_PAUSE_S)
            if self._routing.now() < work.deadline_s:
                return None
        elif not self._has_run and self._routing.now() < work.deadline_s:
            self.abandon()
            return None
        self._log_loss(work, kind.value)
        self.abandon()
        return failures.ROLLED_BACK

    def _note_success(
        self, work: Work, sent_s: float, answer: Completed
    ) -> None:
        self._has_run = True
        self._has_written = self._has_written or work.access.is_write
        if not self._begin.is_read_only and self._member is not None:
            work.group.prove_primary(self._member, sent_s, answer.position)

    def _judge_commit(
        self, work: Work, sent_s: float, answer: MemberAnswer
    ) -> tuple[Reply, LogPosition | None] | None:
        match answer:
            case Completed(rows=rows, signature=signature, position=position):
                member, connection = self._release()
                member.pool.give_back(connection)
                return Success(rows, signature), (
                    position if self._has_written else None
                )
            case Rejected(kind=RejectionKind.busy, state=state) if (
                state is SessionState.in_transaction
                and self._routing.now() < work.deadline_s
            ):
                return None
            case Rejected(kind=kind) if kind in NOT_RUN:
                self.abandon()
                return failures.ROLLED_BACK, None
            case Rejected():
                self.abandon()
                return failures.from_rejection(answer), None
            case LinkLost(reason=reason):
                self._log_loss(work, reason)
                self.abandon()
                if self._has_written:
                    return failures.WRITE_UNANSWERED, None
                return failures.ROLLED_BACK, None

    def _release(self) -> tuple[Member, PooledConnection]:
        member, connection = self._member, self._connection
        self._member = None
        self._connection = None
        assert member is not None and connection is not None
        return member, connection

    async def _roll_back(
        self, member: Member, connection: PooledConnection
    ) -> None:
        if connection.link.is_open:
            answer = await connection.ask(
                connection.link.rollback(_ROLLBACK_LIMIT_S),
            )
            if not isinstance(answer, Completed):
                connection.link.close()
        member.pool.give_back(connection)

    def _log_loss(self, work: Work, reason: str) -> None:
        member = self._member
        logger.bind(
            request=work.request_id,
            member=member.member_id if member else '',
            reason=reason,
        ).warning('transaction_lost')
