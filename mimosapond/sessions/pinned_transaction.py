"""A transaction that is open on one connection to one member."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Final, final

from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import (
    NOT_EXECUTED_KINDS,
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.admission_permit import Permit
from mimosapond.groups.admission_request import NotAdmitted
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.boot_clock import Now
from mimosapond.routing import failures
from mimosapond.routing.admitted_connection import admission_request
from mimosapond.routing.commit_witnesses import CommitWitnesses, Confirmation
from mimosapond.routing.statement_runner import (
    RestoreFailed,
    log_answer,
    run_work,
)
from mimosapond.routing.work import Work
from mimosapond.routing.work_outcome import (
    WorkDone,
    WorkOutcome,
    WorkUnanswered,
)
from mimosapond.routing.write_router import BUSY_BACKOFF_S, log_unwitnessed
from mimosapond.statements.reply import SessionState, Success
from mimosapond.statements.statement import Commit

_ROLLBACK_TIMEOUT_S: Final = 1.0


@final
class PinnedTransaction:
    """Holds one connection until the transaction ends.

    It implements ``OpenTransaction`` for members that this host reaches.
    """

    def __init__(
        self,
        member: Member,
        connection: ConnectionLease,
        now: Now,
        witnesses: CommitWitnesses,
        *,
        proves_primary: bool,
    ) -> None:
        """Take over a connection on which the transaction has begun.

        Parameters
        ----------
        witnesses
            Confirm a commit that the member acknowledges.
        proves_primary
            Whether a statement that succeeds proves that the member is the
            primary. This is so for every transaction that is not read-only.
        """
        self._member = member
        self._connection = connection
        self._now = now
        self._witnesses = witnesses
        self._proves_primary = proves_primary
        self._has_written = False
        self._is_running = False
        self._is_over = False
        self._tasks: set[asyncio.Task[None]] = set()

    def __str__(self) -> str:
        """Return the id of the member."""
        return self._member.member_id

    async def run(self, work: Work) -> WorkOutcome:
        """Run one statement and return its outcome.

        While the member answers that it is busy, the statement is retried
        until its deadline.
        """
        with self._running():
            return await self._run(work)

    async def commit(self, work: Work) -> WorkOutcome:
        """Commit the transaction and return the outcome.

        If the transaction has written and the commit succeeds, the outcome
        contains the log position of the commit.
        """
        with self._running():
            answer = await self._commit(work)
        outcome = self._commit_outcome(answer)
        if not isinstance(outcome, WorkDone) or outcome.position is None:
            return outcome
        confirmation = await self._witnesses.confirm(
            work.group, self._member, outcome.position, work.deadline_s
        )
        if confirmation is Confirmation.witnessed:
            return outcome
        log_unwitnessed(work, self._member, outcome.position, confirmation)
        return WorkUnanswered('no witness has the commit', was_sent=True)

    def abandon(self) -> None:
        """Start a rollback in the background, and return at once.

        While a request is in flight, no other request may be sent on the
        connection. In that case the connection is closed, and the member rolls
        back on its own.
        """
        if self._is_over:
            return
        self._is_over = True
        if self._is_running:
            self._connection.link.close()
            return
        task = asyncio.create_task(self._roll_back())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @contextlib.contextmanager
    def _running(self) -> Iterator[None]:
        self._is_running = True
        try:
            yield
        finally:
            self._is_running = False
            if self._is_over:
                self._connection.release()

    async def _run(self, work: Work) -> WorkOutcome:
        while True:
            permit = await self._member.admission.admit(
                admission_request(work, is_in_transaction=True)
            )
            if isinstance(permit, NotAdmitted):
                return WorkUnanswered(permit.cause.value, was_sent=False)
            sent_s = self._now()
            answer = await self._run_admitted(work, permit)
            if not self._may_retry(work, answer):
                return self._statement_outcome(work, sent_s, answer)
            await asyncio.sleep(BUSY_BACKOFF_S)

    async def _run_admitted(self, work: Work, permit: Permit) -> MemberAnswer:
        limit_s = work.deadline_s - self._now()
        permit.start()
        try:
            answer = await self._ask_member(work, limit_s)
            permit.record(answer)
        finally:
            permit.release()
        return answer

    async def _ask_member(self, work: Work, limit_s: float) -> MemberAnswer:
        try:
            return await run_work(self._connection, work, None, limit_s)
        except RestoreFailed as error:
            return error.answer

    async def _commit(self, work: Work) -> MemberAnswer:
        while True:
            limit_s = work.deadline_s - self._now()
            call = self._connection.link.run(
                work.request_id, Commit(), None, limit_s
            )
            answer = await self._connection.ask(
                call, is_write=self._has_written
            )
            log_answer(self._connection, work.request_id, answer)
            if not self._may_retry(work, answer):
                return answer
            await asyncio.sleep(BUSY_BACKOFF_S)

    def _may_retry(self, work: Work, answer: MemberAnswer) -> bool:
        return (
            isinstance(answer, Rejected)
            and answer.kind is RejectionKind.busy
            and answer.state is SessionState.in_transaction
            and self._now() < work.deadline_s
        )

    def _statement_outcome(
        self, work: Work, sent_s: float, answer: MemberAnswer
    ) -> WorkOutcome:
        match answer:
            case Completed(rows=rows, signature=signature, position=position):
                self._has_written = self._has_written or work.statement.is_write
                if self._proves_primary:
                    work.group.confirm_primary(self._member, sent_s, position)
                return WorkDone(Success(rows, signature))
            case Rejected(kind=kind) if kind in NOT_EXECUTED_KINDS:
                self._handle_refusal(work.group, kind)
                return WorkUnanswered(kind.value, was_sent=False)
            case Rejected():
                return WorkDone(failures.from_rejection(answer))
            case LinkLost(reason=reason, was_sent=was_sent):
                return WorkUnanswered(reason, was_sent=was_sent)

    def _commit_outcome(self, answer: MemberAnswer) -> WorkOutcome:
        match answer:
            case Completed(rows=rows, signature=signature, position=position):
                self._is_over = True
                self._connection.release()
                commit_position = position if self._has_written else None
                return WorkDone(Success(rows, signature), commit_position)
            case Rejected(kind=kind) if kind in NOT_EXECUTED_KINDS:
                self.abandon()
                return WorkDone(failures.ROLLED_BACK)
            case Rejected():
                self.abandon()
                return WorkDone(failures.from_rejection(answer))
            case LinkLost(reason=reason, was_sent=was_sent):
                return WorkUnanswered(reason, was_sent=was_sent)

    def _handle_refusal(self, group: Group, kind: RejectionKind) -> None:
        if kind is RejectionKind.not_primary:
            group.suspect_primary(
                self._member, 'the member refused a statement'
            )

    async def _roll_back(self) -> None:
        connection = self._connection
        try:
            if connection.link.is_open:
                await connection.ask(
                    connection.link.rollback(_ROLLBACK_TIMEOUT_S),
                )
        finally:
            # The pool keeps the connection only if its session is idle now.
            connection.release()
