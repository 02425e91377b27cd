"""Asks a member whether it leads, and for its log position.

An empty transaction costs the member no slot and is refused by one that has
lost the lead. Callers that wait at the same time share one probe.
"""

import asyncio
import enum
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.connection_pool import NoConnection
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import Completed, Rejected, RejectionKind
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.routing.relay_port import RelayFinder
from mimosapond.statements.statement import Begin

# More urgent than any statement.
PROBE_PRIORITY: Final = -1
# Longer than the limit for connecting, so that a member that is out of reach
# is told from one that lacks connections.
PROBE_TIMEOUT_S: Final = 0.35


@final
class ProbeResult(enum.Enum):
    """What a probe showed."""

    leads = 'leads'
    follows = 'follows'
    # It accepts no further connection, so it lives.
    crowded = 'crowded'
    silent = 'silent'


@final
class PrimaryProbe:
    """Proves primaries and refreshes the positions that cover reads."""

    def __init__(self, now: Now, relays: RelayFinder) -> None:
        """Take the hosts that may reach a primary which this one does not."""
        self._now = now
        self._relays = relays
        self._in_flight: dict[str, asyncio.Task[None]] = {}

    async def refresh(self, group: Group, limit_s: float) -> None:
        """Wait for one probe that starts now or later."""
        in_flight = self._in_flight.get(group.name)
        if in_flight is not None:
            await asyncio.wait((in_flight,), timeout=limit_s)
        if self._in_flight.get(group.name) is in_flight:
            self._in_flight[group.name] = asyncio.create_task(
                self._refresh(group, limit_s),
            )
        await asyncio.wait((self._in_flight[group.name],), timeout=limit_s)

    async def ask(
        self, group: Group, member: Member, limit_s: float = PROBE_TIMEOUT_S
    ) -> ProbeResult:
        """Return whether the member leads.

        Parameters
        ----------
        limit_s
            For the connection, and once more for the answer.
        """
        connection = await member.pool.borrow(PROBE_PRIORITY, limit_s)
        if isinstance(connection, NoConnection):
            if connection.is_reachable:
                return ProbeResult.crowded
            return ProbeResult.silent
        try:
            return await self._ask_on(connection, group, member, limit_s)
        finally:
            connection.release()

    async def _refresh(self, group: Group, limit_s: float) -> None:
        """Ask the primary, or another host that reaches it."""
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

    async def _ask_on(
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
                group.confirm_primary(member, asked_s, position)
                await connection.ask(connection.link.rollback(limit_s))
                return ProbeResult.leads
            case Rejected(kind=RejectionKind.not_primary):
                group.suspect_primary(member, 'it refused a transaction')
                return ProbeResult.follows
            case _:
                return ProbeResult.silent
