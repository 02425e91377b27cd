"""The attempts to run one read at members, hedged if a member is slow."""

import asyncio
from typing import Final, TypeAlias, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.admission_request import NotAdmitted, RefusalCause
from mimosapond.groups.no_connection import NoConnection
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import (
    NOT_EXECUTED_KINDS,
    Completed,
    MemberAnswer,
    Rejected,
)
from mimosapond.quotas.read_tokens import NO_TOKEN, ReadTokens
from mimosapond.routing import failures
from mimosapond.routing.admitted_connection import (
    AdmittedConnection,
    borrow_admitted,
)
from mimosapond.routing.member_selector import MemberSelector
from mimosapond.routing.statement_runner import RestoreFailed, run_work
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Reply, Success

_AttemptOutcome: TypeAlias = MemberAnswer | NoConnection | NotAdmitted
Attempt: TypeAlias = asyncio.Task[_AttemptOutcome]

# Multiple of a member's usual latency after which the read is also sent to a
# second member, because the answer of the first may be lost.
_HEDGE_LATENCY_FACTOR: Final = 6
_MIN_HEDGE_DELAY_S: Final = 0.1
# Wait for a connection to one member before the attempt fails.
_BORROW_TIMEOUT_S: Final = 0.15
# Members that fail a read until its failure is that of the statement.
_MAX_FAILURE_COUNT: Final = 2
# Delay before members are tried again; it doubles with each round, as many
# reads wait at the same time when members are overloaded or lag behind.
_MIN_ROUND_BACK_OFF_S: Final = 0.02
_MAX_ROUND_BACK_OFF_S: Final = 0.16


def _answer_time_s(member: Member) -> float:
    """Return how long a member may take before another one is asked."""
    return max(
        _MIN_HEDGE_DELAY_S, member.load.latency_s * _HEDGE_LATENCY_FACTOR
    )


@final
class ReadAttempts:
    """The attempts to run one read at members."""

    def __init__(
        self,
        work: Work,
        position: LogPosition,
        selector: MemberSelector,
        running_attempts: set[Attempt],
        now: Now,
        tokens: ReadTokens,
    ) -> None:
        self._tokens = tokens
        self._work = work
        self._running_attempts = running_attempts
        self._position = position
        self._selector = selector
        self._now = now
        self._tried: list[Member] = []
        self._pending: dict[Attempt, Member] = {}
        # Members whose current attempt has not sent the read yet.
        self._unsent: set[Member] = set()
        self._was_sent = False
        # Time until which each member that was sent the read is in time.
        self._due_s: dict[Member, float] = {}
        # Refusals of admission in the present round.
        self._refusals: list[NotAdmitted] = []
        self._round_back_off_s = _MIN_ROUND_BACK_OFF_S
        self._failure_count = 0

    async def run(self) -> Reply | None:
        """Return the reply of a member.

        Returns
        -------
        Reply | None
            None if all members were tried and none could be sent the read; a
            failure at the deadline, or as soon as all members are too busy to
            answer before it.
        """
        while True:
            limit_s = self._start_next()
            remaining_s = self._work.deadline_s - self._now()
            if remaining_s <= 0:
                return self._give_up()
            if limit_s is None:
                return self._refusal()
            reply = await self._wait(min(limit_s, remaining_s))
            if reply is not None:
                return reply

    def cancel_unsent(self) -> None:
        """Cancel the attempts that have not sent the read.

        The other attempts go on and give their connections back when they
        end.
        """
        for attempt, member in self._pending.items():
            if member in self._unsent:
                attempt.cancel()

    def _give_up(self) -> Reply:
        logger.bind(
            request=self._work.request_id,
            tried=[member.member_id for member in self._tried],
            at=str(self._position),
            was_sent=self._was_sent,
        ).warning('read_given_up')
        if self._was_sent:
            return failures.READ_UNANSWERED
        return failures.NO_CONNECTION

    def _start_next(self) -> float | None:
        """Start the next attempt and return the delay before the one after.

        Returns
        -------
        float | None
            In seconds; None if all members were tried and none could be sent
            the read.
        """
        member = self._selector.choose(
            self._work.group,
            self._position,
            self._tried,
            self._work.workspace,
        )
        if member is None:
            return self._end_round()
        self._tried.append(member)
        self._unsent.add(member)
        attempt = asyncio.create_task(self._run_attempt(member))
        self._running_attempts.add(attempt)
        attempt.add_done_callback(self._running_attempts.discard)
        self._pending[attempt] = member
        return _answer_time_s(member)

    def _end_round(self) -> float | None:
        # Members that refused are tried again in the next round. Not tried again
        # are members where the read runs, waits, or may have lost its answer.
        self._tried = list(self._pending.values())
        if self._is_refused_by_all():
            return None
        if not (self._was_sent or self._refusals or self._is_queued()):
            return None
        self._refusals.clear()
        back_off_s = self._round_back_off_s
        self._round_back_off_s = min(back_off_s * 2, _MAX_ROUND_BACK_OFF_S)
        return back_off_s

    def _is_refused_by_all(self) -> bool:
        """Return whether each member is too busy and none was sent the read.

        A member that lags behind is not tried, and may soon take the read.
        """
        if self._was_sent or self._pending:
            return False
        members = self._work.group.members.values()
        accepting = [each for each in members if each.accepts_new_work]
        return len(self._refusals) >= len(accepting)

    def _is_queued(self) -> bool:
        """Return whether an attempt may be waiting for admission."""
        return any(
            member.admission.waiting_count
            for member in self._pending.values()
            if member in self._unsent
        )

    def _refusal(self) -> Reply | None:
        """Return the failure of a round in which all members refused."""
        if not self._refusals:
            return None
        soonest = min(self._refusals, key=lambda each: each.retry_after_ms)
        return failures.not_admitted(soonest)

    async def _wait(self, limit_s: float) -> Reply | None:
        if not self._pending:
            await asyncio.sleep(limit_s)
            return None
        done, _ = await asyncio.wait(
            self._pending,
            timeout=limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for attempt in done:
            self._pending.pop(attempt)
            reply = self._final_reply(attempt.result())
            if reply is not None:
                return reply
        return None

    def _final_reply(self, answer: _AttemptOutcome) -> Reply | None:
        match answer:
            case Completed(rows=rows, signature=signature):
                return Success(rows, signature)
            case Rejected(kind=kind) if kind in NOT_EXECUTED_KINDS:
                return None
            case Rejected():
                return self._judge_failure(answer)
            case NotAdmitted(cause=cause):
                if cause is not RefusalCause.unreachable:
                    self._refusals.append(answer)
                return None
            case _:
                return None

    def _judge_failure(self, answer: Rejected) -> Reply | None:
        """Return the failure of a statement if it is not that of one member.

        A member may fail part of its statements, or all, while it reports that
        it is well. A read changes nothing, so another member can run it.
        """
        self._failure_count += 1
        is_alone = self._failure_count >= len(self._work.group.members)
        if self._failure_count >= _MAX_FAILURE_COUNT or is_alone:
            return failures.from_rejection(answer)
        return None

    async def _run_attempt(self, member: Member) -> _AttemptOutcome:
        delay_s = self._hedge_delay_s()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        if not await self._tokens.take():
            return NO_TOKEN
        outcome: _AttemptOutcome | None = None
        try:
            outcome = await self._run_at(member)
        finally:
            self._tokens.settle(outcome, was_sent=member not in self._unsent)
        return outcome

    async def _run_at(self, member: Member) -> _AttemptOutcome:
        remaining_s = self._work.deadline_s - self._now()
        admitted = await borrow_admitted(
            member, self._work, min(_BORROW_TIMEOUT_S, remaining_s)
        )
        if not isinstance(admitted, AdmittedConnection):
            return admitted
        try:
            return await self._send(member, admitted)
        finally:
            admitted.release()

    async def _send(
        self, member: Member, admitted: AdmittedConnection
    ) -> _AttemptOutcome:
        if self._hedge_delay_s() > 0:
            return NoConnection(
                'the read was sent to another member', is_reachable=True
            )
        self._unsent.discard(member)
        self._was_sent = True
        self._due_s[member] = self._now() + _answer_time_s(member)
        admitted.permit.start(self._position)
        limit_s = max(self._work.deadline_s - self._now(), 0)
        try:
            answer = await run_work(
                admitted.connection, self._work, self._position, limit_s
            )
        except RestoreFailed as error:
            answer = error.answer
        admitted.permit.record(answer)
        return answer

    def _hedge_delay_s(self) -> float:
        """Return for how long no other member may be sent the read.

        A member that was sent it has this time to answer. Attempts can wait for
        admission at several members at once, and the wait of one is no reason
        to run the read twice.
        """
        due_s = max(
            (
                self._due_s.get(member, 0)
                for member in self._pending.values()
                if member not in self._unsent
            ),
            default=0,
        )
        return due_s - self._now()
