"""Runs single reads at any member that has applied the required position."""

import asyncio
from typing import Final, TypeAlias, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.connection_pool import NoConnection
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import (
    NOT_EXECUTED_KINDS,
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
)
from mimosapond.quotas.quota_port import NoQuotas, Quota
from mimosapond.quotas.read_tokens import NO_TOKEN, ReadTokens
from mimosapond.routing.member_selector import MemberSelector
from mimosapond.routing.read_position_finder import ReadPositionFinder
from mimosapond.routing import failures
from mimosapond.routing.holder_port import HolderFinder, RunsHere
from mimosapond.routing.relay_port import RelayFinder
from mimosapond.routing.work_outcome import (
    WorkDone,
    WorkOutcome,
    WorkUnanswered,
)
from mimosapond.routing.statement_runner import RestoreFailed, run_work
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Failure, Reply, Success

_Attempt: TypeAlias = asyncio.Task[MemberAnswer | NoConnection]

# Multiple of a member's usual latency after which the read is also sent to a
# second member, because the answer of the first may be lost.
_HEDGE_LATENCY_FACTOR: Final = 6
_MIN_HEDGE_DELAY_S: Final = 0.1
# Wait for a connection to one member before the attempt fails.
_BORROW_TIMEOUT_S: Final = 0.15
# Delay before members are tried again; it doubles with each round, as many
# reads wait at the same time when members are overloaded or lag behind.
_MIN_ROUND_BACK_OFF_S: Final = 0.02
_MAX_ROUND_BACK_OFF_S: Final = 0.16
_RUNS_HERE: Final = RunsHere()
_NO_QUOTAS: Final = NoQuotas()


@final
class ReadRouter:
    """Retries a read at several members until one answers.

    If a member is slow, the read is hedged: it is also sent to another.
    """

    def __init__(
        self,
        positions: ReadPositionFinder,
        selector: MemberSelector,
        relays: RelayFinder,
        now: Now,
        holders: HolderFinder = _RUNS_HERE,
        quotas: Quota = _NO_QUOTAS,
    ) -> None:
        """Create a router.

        Parameters
        ----------
        positions
            Finds the log position that a read requires.
        selector
            Ranks the members.
        relays
            Finds a host to read through if this one has no connections.
        holders
            Finds the hosts that hold a group if this one does not.
        quotas
            Limits the reads that are sent to members.
        """
        self._holders = holders
        self._quotas = quotas
        self._positions = positions
        self._relays = relays
        self._selector = selector
        self._now = now
        # Keeps attempts alive that continue after the read was answered.
        self._running_attempts: set[_Attempt] = set()

    async def run(self, work: Work) -> Reply:
        """Return the reply to a read, or a failure at its deadline."""
        holder = self._holders.find(work.group)
        if isinstance(holder, Failure):
            return holder
        if holder is not None:
            return _reply_of(await holder.read(work))
        refusal = await self._quotas.take(work)
        if refusal is not None:
            return refusal
        position = await self._positions.find(work)
        if position is None:
            self._quotas.give_back(work)
            return failures.NO_FRESH_MEMBER
        tokens = ReadTokens(self._quotas, work)
        attempts = _ReadAttempts(
            work,
            position,
            self._selector,
            self._running_attempts,
            self._now,
            tokens,
        )
        try:
            return await self._run_until_reply(work, attempts)
        finally:
            attempts.cancel_unsent()
            tokens.close()

    async def _run_until_reply(
        self, work: Work, attempts: '_ReadAttempts'
    ) -> Reply:
        while True:
            reply = await attempts.run() or await self._read_by_relay(work)
            if reply is not None:
                return reply
            await asyncio.sleep(_MIN_ROUND_BACK_OFF_S)

    async def _read_by_relay(self, work: Work) -> Reply | None:
        """Have another host, which has connections to members, run the read.

        Returns
        -------
        Reply | None
            None if no host is found or if it gives no answer.
        """
        relay = await self._relays.find(work.group)
        if relay is None:
            return None
        outcome = await relay.read(work)
        return outcome.reply if isinstance(outcome, WorkDone) else None


def _reply_of(outcome: WorkOutcome) -> Reply:
    match outcome:
        case WorkDone(reply=reply):
            return reply
        case WorkUnanswered(was_sent=False):
            return failures.NO_HOLDER
        case WorkUnanswered():
            return failures.READ_UNANSWERED


@final
class _ReadAttempts:
    """The attempts to run one read at members."""

    def __init__(
        self,
        work: Work,
        position: LogPosition,
        selector: MemberSelector,
        running_attempts: set[_Attempt],
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
        self._pending: dict[_Attempt, Member] = {}
        # Members whose current attempt has not sent the read yet.
        self._unsent: set[Member] = set()
        self._was_sent = False
        self._round_back_off_s = _MIN_ROUND_BACK_OFF_S

    async def run(self) -> Reply | None:
        """Return the reply of a member.

        Returns
        -------
        Reply | None
            None if all members were tried and none could be sent the read; a
            failure at the deadline.
        """
        while True:
            limit_s = self._start_next()
            remaining_s = self._work.deadline_s - self._now()
            if remaining_s <= 0:
                return self._give_up()
            if limit_s is None:
                return None
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
            self._work.group, self._position, self._tried
        )
        if member is None:
            return self._end_round()
        self._tried.append(member)
        self._unsent.add(member)
        attempt = asyncio.create_task(self._run_attempt(member))
        self._running_attempts.add(attempt)
        attempt.add_done_callback(self._running_attempts.discard)
        self._pending[attempt] = member
        return max(
            _MIN_HEDGE_DELAY_S, member.load.latency_s * _HEDGE_LATENCY_FACTOR
        )

    def _end_round(self) -> float | None:
        # Members that refused are tried again in the next round. Members that
        # still run the read, or whose answer may be lost, are not.
        self._tried = list(self._pending.values())
        if not self._was_sent:
            return None
        back_off_s = self._round_back_off_s
        self._round_back_off_s = min(back_off_s * 2, _MAX_ROUND_BACK_OFF_S)
        return back_off_s

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

    def _final_reply(self, answer: MemberAnswer | NoConnection) -> Reply | None:
        match answer:
            case Completed(rows=rows, signature=signature):
                return Success(rows, signature)
            case Rejected(kind=kind) if kind in NOT_EXECUTED_KINDS:
                return None
            case Rejected():
                return failures.from_rejection(answer)
            case _:
                return None

    async def _run_attempt(self, member: Member) -> MemberAnswer | NoConnection:
        if not await self._tokens.take():
            return NO_TOKEN
        answer = None
        try:
            answer = await self._run_at(member)
        finally:
            self._tokens.keep_unused(answer)
        return answer

    async def _run_at(self, member: Member) -> MemberAnswer | NoConnection:
        work = self._work
        connection = await member.pool.borrow(
            work.route.priority,
            min(_BORROW_TIMEOUT_S, work.deadline_s - self._now()),
            work.values,
            work.workspace,
        )
        if isinstance(connection, NoConnection):
            return connection
        limit_s = max(work.deadline_s - self._now(), 0)
        try:
            self._unsent.discard(member)
            self._was_sent = True
            return await run_work(connection, work, self._position, limit_s)
        except RestoreFailed as error:
            return LinkLost(str(error))
        finally:
            connection.release()
