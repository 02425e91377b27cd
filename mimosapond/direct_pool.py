"""This host's own connection pool to one member, for the baseline policy.

It serves requests in order of arrival and ignores work classes, long
statements, workspace limits and expected waits, so that measurements can show
what these add.
"""

import asyncio
from typing import final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.connection_pool import ConnectionPool
from mimosapond.direct_grant import DirectGrant
from mimosapond.errors import refuse
from mimosapond.member_address import MemberAddress
from mimosapond.options import Options
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.target_port import TargetPort
from mimosapond.work_ticket import WorkTicket


@final
class DirectPool:
    """First-come, first-served pool within this host's connection share."""

    def __init__(
        self,
        member: MemberAddress,
        target: TargetPort,
        options: Options,
        clock: Clock,
    ) -> None:
        """Start without open connections."""
        share_count = member.connection_limit_count // options.direct_host_count
        self.member = member
        self._clock = clock
        self.cap_count = max(1, share_count)
        self._free = asyncio.Semaphore(self.cap_count)
        self._pool = ConnectionPool(
            member,
            target,
            clock,
            self.cap_count,
            options.connection_check_timeout_ms / MS_PER_S,
        )

    async def acquire(self, ticket: WorkTicket) -> DirectGrant | Refused:
        """Wait for a connection until the ticket's deadline."""
        left_s = ticket.deadline_s - self._clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0, left_s)):
                await self._free.acquire()
        except TimeoutError:
            return refuse(RefusalReason.DEADLINE_EXCEEDED, retry_after_ms=1)
        return await self._connect()

    async def _connect(self) -> DirectGrant | Refused:
        grant: DirectGrant | None = None
        try:
            taken = await self._pool.borrow()
            if isinstance(taken, Refused):
                return taken
            grant = DirectGrant(taken, self._pool, self._free.release)
        finally:
            if grant is None:
                self._free.release()
        return grant
