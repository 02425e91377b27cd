"""Runs single reads at any member that has applied the required position."""

import asyncio
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.quotas.quota_port import NoQuotas, Quota
from mimosapond.quotas.read_tokens import ReadTokens
from mimosapond.routing import failures
from mimosapond.routing.holder_port import HolderFinder, RunsHere
from mimosapond.routing.member_selector import MemberSelector
from mimosapond.routing.read_attempts import Attempt, ReadAttempts
from mimosapond.routing.read_position_finder import ReadPositionFinder
from mimosapond.routing.relay_port import RelayFinder
from mimosapond.routing.work import Work
from mimosapond.routing.work_outcome import (
    WorkDone,
    WorkOutcome,
    WorkUnanswered,
)
from mimosapond.statements.reply import Failure, Reply

# Delay before members are tried again after no relay was found.
_RETRY_DELAY_S: Final = 0.02
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
        self._running_attempts: set[Attempt] = set()

    async def run(self, work: Work) -> Reply:
        """Return the reply to a read, or a failure at its deadline."""
        holder = self._holders.find(work.group, work.workspace)
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
        attempts = ReadAttempts(
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
        self, work: Work, attempts: ReadAttempts
    ) -> Reply:
        while True:
            reply = await attempts.run() or await self._read_by_relay(work)
            if reply is not None:
                return reply
            await asyncio.sleep(_RETRY_DELAY_S)

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
