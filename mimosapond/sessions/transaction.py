"""A caller's transaction, from BEGIN to its end."""

import asyncio
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import (
    Completed,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.routing import failures
from mimosapond.routing.admitted_connection import (
    AdmittedConnection,
    borrow_admitted,
)
from mimosapond.routing.commit_witnesses import CommitWitnesses
from mimosapond.routing.holder_port import HolderFinder, RunsHere
from mimosapond.routing.lead_proof import AnswerProof, LeadProof
from mimosapond.routing.member_selector import MemberSelector
from mimosapond.routing.open_transaction import OpenTransaction
from mimosapond.routing.primary_path import PrimaryPathFinder, RelayPath
from mimosapond.routing.read_position_finder import ReadPositionFinder
from mimosapond.routing.statement_runner import RestoreFailed, restore_values
from mimosapond.routing.work import Work
from mimosapond.routing.work_outcome import WorkDone, WorkUnanswered
from mimosapond.routing.write_router import BUSY_BACKOFF_S, WriteRouter
from mimosapond.sessions.pinned_transaction import PinnedTransaction
from mimosapond.statements.reply import Failure, Reply, Success
from mimosapond.statements.statement import Begin

_BORROW_TIMEOUT_S: Final = 0.2


@final
@attrs.frozen
class TransactionRouting:
    """The routing parts that select a member for a transaction.

    Parameters
    ----------
    witnesses
        Confirm the commits that a primary acknowledges.
    now
        Clock that deadlines and waits are measured with.
    holders
        Finds the hosts that hold a group if this one does not.
    proof
        Tells whether a transaction that a member accepted proves that it leads.
    """

    positions: ReadPositionFinder
    member_selector: MemberSelector
    paths: PrimaryPathFinder
    writes: WriteRouter
    now: Now
    witnesses: CommitWitnesses
    holders: HolderFinder = RunsHere()
    proof: LeadProof = AnswerProof()


@final
class Transaction:
    """A transaction that is opened at a member with its first statement.

    Members accept few connections. Opening late keeps a connection for no
    longer than needed, and if a member refuses to begin, another member can be
    used without the caller noticing.
    """

    def __init__(self, begin: Begin, routing: TransactionRouting) -> None:
        """Create a transaction of the given kind; nothing is sent yet."""
        self._begin = begin
        self._routing = routing
        self._opened: OpenTransaction | None = None
        self._has_run = False
        self._has_written = False
        self._is_over = False
        self._is_counted = False

    @property
    def is_open(self) -> bool:
        """Whether the transaction was opened at a member or another host."""
        return self._opened is not None

    async def run(self, work: Work) -> Reply:
        """Run one statement and return its reply.

        After a failure the transaction has ended. A statement that was not
        sent is retried at a newly opened transaction, as long as no statement
        of this transaction has succeeded.
        """
        while True:
            opened = await self._open(work)
            if isinstance(opened, Failure):
                return opened
            outcome = await opened.run(work)
            if self._is_over:
                return failures.ROLLED_BACK
            match outcome:
                case WorkDone(reply=Success() as reply):
                    self._has_run = True
                    self._has_written |= work.statement.is_write
                    return reply
                case WorkDone(reply=reply):
                    self.abandon()
                    return reply
                case WorkUnanswered(was_sent=False) if self._may_reopen(work):
                    self._abandon_opened()
                case WorkUnanswered(reason=reason):
                    self._log_loss(work, reason)
                    self.abandon()
                    return failures.ROLLED_BACK

    async def commit(self, work: Work) -> tuple[Reply, LogPosition | None]:
        """Commit the transaction.

        Returns
        -------
        tuple of Reply and LogPosition or None
            The log position is that of the commit. It is None if the
            transaction has not written or the commit was not confirmed.
        """
        opened = await self._open(work)
        if isinstance(opened, Failure):
            return opened, None
        outcome = await opened.commit(work)
        match outcome:
            case WorkDone(reply=reply, position=position):
                self._opened = None
                return reply, position
            case WorkUnanswered(reason=reason, was_sent=was_sent):
                self._log_loss(work, reason)
                self.abandon()
                if was_sent and self._has_written:
                    return failures.WRITE_UNANSWERED, None
                return failures.ROLLED_BACK, None

    def abandon(self) -> None:
        """Roll back a transaction that is open or is being opened."""
        self._is_over = True
        self._abandon_opened()

    def _abandon_opened(self) -> None:
        if self._opened is not None:
            self._opened.abandon()
            self._opened = None

    def _may_reopen(self, work: Work) -> bool:
        return not self._has_run and self._routing.now() < work.deadline_s

    async def _open(self, work: Work) -> OpenTransaction | Failure:
        if self._opened is not None:
            return self._opened
        refusal = await self._count(work)
        if refusal is not None:
            return refusal
        if self._begin.is_read_only:
            opened = await self._open_read_only(work)
        else:
            opened = await self._open_read_write(work)
        if not isinstance(opened, PinnedTransaction):
            self._routing.writes.quotas.give_back(work)
            self._is_counted = False
        elif not self._is_counted:
            # The group has just come to this host.
            opened.abandon()
            return failures.NO_CONNECTION
        if isinstance(opened, Failure):
            return opened
        if self._is_over:
            opened.abandon()
            return failures.ROLLED_BACK
        self._opened = opened
        return opened

    async def _count(self, work: Work) -> Failure | None:
        """Take a token of the quota if the transaction runs at this host."""
        if self._is_counted or self._is_remote(work):
            return None
        refusal = await self._routing.writes.quotas.take(work)
        self._is_counted = refusal is None
        return refusal

    async def _open_read_write(self, work: Work) -> OpenTransaction | Failure:
        wait_for = await self._begin_position(work)
        if isinstance(wait_for, Failure):
            return wait_for
        is_proved = self._routing.proof.is_answer_enough or wait_for is not None
        while True:
            path = await self._routing.paths.find(work, is_transaction=True)
            match path:
                case Failure():
                    return path
                case RelayPath(relay=relay):
                    return relay.open(self._begin)
            if not is_proved:
                # The work was to be passed on when that was last checked.
                path.admitted.release()
                return await self._open_read_write(work)
            opened = await self._begin_at(
                work, path.member, path.admitted, wait_for
            )
            if opened is not None:
                return opened

    async def _begin_position(self, work: Work) -> LogPosition | Failure | None:
        """Return the position that proves the primary of a transaction.

        It is None if an answer is enough, or if the work is passed on.
        """
        if self._routing.proof.is_answer_enough or self._is_remote(work):
            return None
        position = await self._routing.positions.find(work)
        return position or failures.NO_FRESH_MEMBER

    def _is_remote(self, work: Work) -> bool:
        holder = self._routing.holders.find(work.group, work.workspace)
        return holder is not None

    async def _begin_at(
        self,
        work: Work,
        member: Member,
        admitted: AdmittedConnection,
        wait_for: LogPosition | None,
    ) -> OpenTransaction | None:
        sent_s = self._routing.now()
        connection = admitted.connection
        answer = await self._send_begin(work, admitted, wait_for)
        match answer:
            case Completed(position=position):
                if self._routing.proof.is_answer_enough:
                    work.group.confirm_primary(member, sent_s, position)
                return self._pin(member, connection)
            case Rejected(kind=RejectionKind.not_primary):
                work.group.suspect_primary(
                    member, 'the member refused to begin a transaction'
                )
            case _:
                await asyncio.sleep(BUSY_BACKOFF_S)
        connection.release()
        return None

    async def _open_read_only(self, work: Work) -> OpenTransaction | Failure:
        holder = self._routing.holders.find(work.group, work.workspace)
        if isinstance(holder, Failure):
            return holder
        if holder is not None:
            return holder.open(self._begin)
        position = await self._routing.positions.find(work)
        if position is None:
            return failures.NO_FRESH_MEMBER
        tried: list[Member] = []
        while self._routing.now() < work.deadline_s:
            member = self._routing.member_selector.choose(
                work.group, position, tried, work.workspace
            )
            if member is None:
                tried.clear()
                await asyncio.sleep(BUSY_BACKOFF_S)
                continue
            tried.append(member)
            opened = await self._begin_read_only_at(work, member, position)
            if opened is not None:
                return opened
        return failures.NO_CONNECTION

    async def _begin_read_only_at(
        self, work: Work, member: Member, position: LogPosition
    ) -> OpenTransaction | Failure | None:
        admitted = await borrow_admitted(
            member, work, _BORROW_TIMEOUT_S, is_transaction=True
        )
        if not isinstance(admitted, AdmittedConnection):
            # The selector knows the queues: others are expected to be worse.
            return failures.from_borrowing(admitted)
        answer = await self._send_begin(work, admitted, position)
        if isinstance(answer, Completed):
            return self._pin(member, admitted.connection)
        admitted.release()
        return None

    def _pin(
        self, member: Member, connection: ConnectionLease
    ) -> PinnedTransaction:
        return PinnedTransaction(
            member,
            connection,
            self._routing.now,
            self._routing.witnesses,
            proves_primary=(
                self._routing.proof.is_answer_enough
                and not self._begin.is_read_only
            ),
        )

    async def _send_begin(
        self,
        work: Work,
        admitted: AdmittedConnection,
        position: LogPosition | None,
    ) -> MemberAnswer:
        """Begin a transaction under the permit of its first statement.

        The permit is returned with the answer, since a transaction holds none
        between its statements.
        """
        connection = admitted.connection
        limit_s = max(work.deadline_s - self._routing.now(), 0)
        admitted.permit.start(position)
        try:
            await restore_values(connection, work.values, limit_s)
            return await connection.ask(
                connection.link.begin(self._begin, position, limit_s),
            )
        except RestoreFailed as error:
            return error.answer
        finally:
            admitted.permit.release()

    def _log_loss(self, work: Work, reason: str) -> None:
        logger.bind(
            request=work.request_id,
            at=str(self._opened or ''),
            reason=reason,
        ).warning('transaction_lost')
