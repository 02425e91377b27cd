"""Sends single writes to the primary, once."""

import asyncio
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.connection_pool import NoConnection
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import (
    NOT_RUN,
    Completed,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.pooled_connection import PooledConnection
from mimosapond.routing import failures
from mimosapond.statements.reply import Failure, Success
from mimosapond.routing.statement_runner import RestoreFailed, run_work
from mimosapond.routing.work import Work

# Before another try at a member whose queue is full.
BUSY_PAUSE_S: Final = 0.015
# A write that cannot reach its member any more before its deadline is refused.
_MARGIN_S: Final = 0.005


@final
class WriteRouter:
    """Repeats a write only when the member says that it did not run."""

    def __init__(self, now: Now, leaving_limit_s: float) -> None:
        """Take the clock of deadlines.

        Parameters
        ----------
        leaving_limit_s
            How long a primary that leaves and has not been replaced still
            gets new work.
        """
        self._now = now
        self._leaving_limit_s = leaving_limit_s

    async def run(
        self, work: Work
    ) -> tuple[Success | Failure, LogPosition | None]:
        """Return the reply and the log position after the write."""
        while True:
            found = await self.reserve(work)
            if isinstance(found, Failure):
                return found, None
            member, connection = found
            sent_s = self._now()
            try:
                answer = await run_work(
                    connection, work, None, work.deadline_s - sent_s
                )
            except RestoreFailed:
                continue
            finally:
                member.pool.give_back(connection)
            outcome = self._judge(work, member, sent_s, answer)
            if outcome is not None:
                return outcome
            await asyncio.sleep(BUSY_PAUSE_S)

    async def reserve(
        self, work: Work
    ) -> tuple[Member, PooledConnection] | Failure:
        """Return the primary and a connection to it."""
        while True:
            primary = await self._primary(work)
            if primary is None:
                return failures.NO_PRIMARY
            remaining_s = self._remaining_s(work)
            if remaining_s <= 0:
                return failures.NO_CONNECTION
            connection = await primary.pool.borrow(
                work.route.priority, remaining_s, work.definitions.values
            )
            if isinstance(connection, PooledConnection):
                return primary, connection
            self._note_missing(work, primary, connection)

    async def _primary(self, work: Work) -> Member | None:
        limit_s = min(
            self._remaining_s(work), work.group.patience_s(self._now())
        )
        primary = await work.group.await_primary(limit_s)
        if primary is None:
            return None
        if primary.leaving_s(self._now()) > self._leaving_limit_s:
            return None
        return primary

    def _remaining_s(self, work: Work) -> float:
        return work.deadline_s - self._now() - _MARGIN_S

    def _note_missing(
        self, work: Work, primary: Member, missing: NoConnection
    ) -> None:
        if not missing.is_reachable:
            work.group.doubt_primary(primary, missing.reason)

    def _judge(
        self, work: Work, member: Member, sent_s: float, answer: MemberAnswer
    ) -> tuple[Success | Failure, LogPosition | None] | None:
        match answer:
            case Completed(rows=rows, signature=signature, position=position):
                work.group.prove_primary(member, sent_s, position)
                return Success(rows, signature), position
            case Rejected(kind=kind) if kind in NOT_RUN:
                if kind is RejectionKind.not_primary:
                    work.group.doubt_primary(member, 'it refused a write')
                return None
            case Rejected():
                return failures.from_rejection(answer), None
            case _:
                logger.bind(
                    request=work.request_id,
                    member=member.member_id,
                    reason=answer.reason,
                ).warning('write_unanswered')
                return failures.WRITE_UNANSWERED, None
