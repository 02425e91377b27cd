"""Probes whether a member is the primary, and reads its log position.

A probe is an empty transaction: it uses no slot of the member, and a member
that is no longer the primary refuses it. Concurrent callers share one probe.
"""

import asyncio
import enum
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.no_connection import NoConnection
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import Completed, Rejected, RejectionKind
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.routing.lead_proof import AnswerProof, LeadProof
from mimosapond.routing.relay_port import RelayFinder
from mimosapond.statements.statement import Begin

# Ahead of every statement in the queue for a connection.
PROBE_PRIORITY: Final = -1
# Longer than the connect timeout, so that an unreachable member is told apart
# from a member without free connections.
PROBE_TIMEOUT_S: Final = 0.35
_ANSWER_PROOF: Final = AnswerProof()


@final
class ProbeResult(enum.Enum):
    """What a probe found out about a member.

    Attributes
    ----------
    leads
        The member considers itself the primary. Whether it still is shows in
        the group's primary and observations.
    follows
        The member answered that it is not the primary.
    crowded
        The member accepts no further connection, so it is alive.
    silent
        The member is unreachable or gave no valid answer.
    """

    leads = 'leads'
    follows = 'follows'
    crowded = 'crowded'
    silent = 'silent'


@final
class PrimaryProbe:
    """Confirms primaries and refreshes the log positions that reads need."""

    def __init__(
        self, now: Now, relays: RelayFinder, proof: LeadProof = _ANSWER_PROOF
    ) -> None:
        """Create a probe.

        Parameters
        ----------
        relays
            Finds other hosts that reach a primary which this host does not
            reach.
        proof
            Proves that a member which accepted a probe still leads.
        """
        self._proof = proof
        self._now = now
        self._relays = relays
        self._in_flight: dict[str, asyncio.Task[None]] = {}

    async def refresh(self, group: Group, limit_s: float) -> None:
        """Wait until a probe that started after this call has ended.

        A probe that is already in flight does not count, since the primary
        may have answered it before this call. The result shows in the group's
        primary and observations.

        Parameters
        ----------
        limit_s
            Limit of each of the two waits: for a probe that is in flight and
            for the next one.
        """
        in_flight = self._in_flight.get(group.name)
        if in_flight is not None:
            await asyncio.wait((in_flight,), timeout=limit_s)
        if self._in_flight.get(group.name) is in_flight:
            self._in_flight[group.name] = asyncio.create_task(
                self._refresh_once(group, limit_s),
            )
        await asyncio.wait((self._in_flight[group.name],), timeout=limit_s)

    async def ask(
        self, group: Group, member: Member, limit_s: float = PROBE_TIMEOUT_S
    ) -> ProbeResult:
        """Probe a member.

        Parameters
        ----------
        limit_s
            Timeout for the connection, and again for the answer.
        """
        connection = await member.pool.borrow(PROBE_PRIORITY, limit_s)
        if isinstance(connection, NoConnection):
            if connection.is_reachable:
                return ProbeResult.crowded
            return ProbeResult.silent
        try:
            return await self._probe_over(connection, group, member, limit_s)
        finally:
            connection.release()

    async def _refresh_once(self, group: Group, limit_s: float) -> None:
        """Probe the primary, or ask another host that reaches it."""
        if group.primary is None and await self._relays.refresh(group):
            return
        primary = await group.await_primary(
            min(limit_s, group.failover_wait_s(self._now()))
        )
        if primary is None:
            return
        result = await self.ask(group, primary)
        if result is ProbeResult.crowded:
            await self._relays.refresh(group)

    async def _probe_over(
        self,
        connection: ConnectionLease,
        group: Group,
        member: Member,
        limit_s: float,
    ) -> ProbeResult:
        asked_s = self._now()
        begin = connection.link.begin(Begin(False), None, limit_s)
        answer = await connection.ask(begin)
        match answer:
            case Completed(position=position):
                await connection.ask(connection.link.rollback(limit_s))
                if await self._proof.proves(group, member, limit_s):
                    group.confirm_primary(member, asked_s, position)
                return ProbeResult.leads
            case Rejected(kind=RejectionKind.not_primary):
                group.suspect_primary(
                    member, 'it refused to begin a transaction'
                )
                return ProbeResult.follows
            case _:
                return ProbeResult.silent
