"""Runs single writes at the primary, each at most once."""

import asyncio
from typing import Final, TypeAlias, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import (
    NOT_EXECUTED_KINDS,
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.quotas.quota_port import NoQuotas, Quota
from mimosapond.routing import failures
from mimosapond.routing.admitted_connection import AdmittedConnection
from mimosapond.routing.commit_witnesses import CommitWitnesses, Confirmation
from mimosapond.routing.primary_path import (
    LocalPath,
    Path,
    PrimaryPathFinder,
    RelayPath,
)
from mimosapond.routing.work_outcome import (
    WorkDone,
    WorkOutcome,
    WorkUnanswered,
)
from mimosapond.routing.statement_runner import RestoreFailed, run_work
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Failure, Reply, Success

# Delay before a retry at a member whose queue is full.
BUSY_BACKOFF_S: Final = 0.015
_NO_QUOTAS: Final = NoQuotas()

WriteOutcome: TypeAlias = tuple[Reply, LogPosition | None]


@final
class WriteRouter:
    """Retries a write only if it is certain that it did not run."""

    def __init__(
        self,
        paths: PrimaryPathFinder,
        witnesses: CommitWitnesses,
        now: Now,
        quotas: Quota = _NO_QUOTAS,
    ) -> None:
        """Create a router.

        Parameters
        ----------
        paths
            Finds a path to the primary.
        witnesses
            Confirm the commits that the primary acknowledges.
        now
            Clock of the deadlines.
        quotas
            Limits the writes that are sent to members.
        """
        self.quotas = quotas
        self._paths = paths
        self._witnesses = witnesses
        self._now = now

    async def run(self, work: Work) -> WriteOutcome:
        """Run a write and return the reply.

        Returns
        -------
        tuple[Reply, LogPosition | None]
            The position is None if the write failed or its outcome is
            unknown.
        """
        is_counted = False
        while True:
            path = await self._find_path(work, is_counted=is_counted)
            is_counted = isinstance(path, LocalPath)
            outcome = await self._run_on(path, work)
            if outcome is not None:
                return outcome
            await asyncio.sleep(BUSY_BACKOFF_S)

    async def _find_path(self, work: Work, *, is_counted: bool) -> Path:
        """Return a path, with a token if the write runs at this host."""
        runs_here = self._paths.runs_here(work)
        if runs_here and not is_counted:
            refusal = await self.quotas.take(work)
            if refusal is not None:
                return refusal
        path = await self._paths.find(work)
        if not isinstance(path, LocalPath):
            self.quotas.give_back(work)
        elif not (runs_here or is_counted):
            # The group has just come to this host.
            path.admitted.release()
            return failures.NO_CONNECTION
        return path

    async def _run_on(self, path: Path, work: Work) -> WriteOutcome | None:
        match path:
            case Failure():
                return path, None
            case RelayPath(relay=relay):
                return self._relay_outcome(work, await relay.write(work))
            case LocalPath(member=member, admitted=admitted):
                if not self._witnesses.may_confirm(work.group, member):
                    admitted.release()
                    return failures.NO_WITNESS, None
                return await self._run_at_member(work, member, admitted)

    async def _run_at_member(
        self, work: Work, member: Member, admitted: AdmittedConnection
    ) -> WriteOutcome | None:
        sent_s = self._now()
        admitted.permit.start()
        try:
            answer = await run_work(
                admitted.connection, work, None, work.deadline_s - sent_s
            )
            admitted.permit.record(answer)
        except RestoreFailed as error:
            admitted.permit.record(error.answer)
            return None
        finally:
            admitted.release()
        outcome = self._member_outcome(work, member, sent_s, answer)
        match outcome:
            case (reply, LogPosition() as position):
                return await self._confirm(work, member, reply, position)
            case _:
                return outcome

    async def _confirm(
        self, work: Work, member: Member, reply: Reply, position: LogPosition
    ) -> WriteOutcome:
        confirmation = await self._witnesses.confirm(
            work.group, member, position, work.deadline_s
        )
        if confirmation is Confirmation.witnessed:
            return reply, position
        log_unwitnessed(work, member, position, confirmation)
        return failures.WRITE_UNANSWERED, None

    def _relay_outcome(
        self, work: Work, outcome: WorkOutcome
    ) -> WriteOutcome | None:
        match outcome:
            case WorkDone(reply=reply, position=position):
                return reply, position
            case WorkUnanswered(was_sent=False):
                return None
            case WorkUnanswered(reason=reason):
                logger.bind(
                    request=work.request_id, member='other host', reason=reason
                ).warning('write_unanswered')
                return failures.WRITE_UNANSWERED, None

    def _member_outcome(
        self, work: Work, member: Member, sent_s: float, answer: MemberAnswer
    ) -> WriteOutcome | None:
        match answer:
            case Completed(rows=rows, signature=signature, position=position):
                work.group.confirm_primary(member, sent_s, position)
                return Success(rows, signature), position
            case Rejected(kind=kind) if kind in NOT_EXECUTED_KINDS:
                if kind is RejectionKind.not_primary:
                    work.group.suspect_primary(member, 'it refused a write')
                return None
            case Rejected():
                return failures.from_rejection(answer), None
            case LinkLost(was_sent=False):
                return None
            case _:
                logger.bind(
                    request=work.request_id,
                    member=member.member_id,
                    reason=answer.reason,
                ).warning('write_unanswered')
                return failures.WRITE_UNANSWERED, None


def log_unwitnessed(
    work: Work,
    member: Member,
    position: LogPosition,
    confirmation: Confirmation,
) -> None:
    """Log that a commit may not survive the loss of the primary, and why."""
    logger.bind(
        request=work.request_id,
        member=member.member_id,
        at=str(position),
        reason=confirmation.value,
    ).warning('commit_not_witnessed')
