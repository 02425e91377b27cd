"""Owns the queue of work for one member and the connections to it."""

from typing import final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.connection_pool import ConnectionPool
from mimosapond.decision_log import DecisionLog
from mimosapond.errors import refuse
from mimosapond.member_address import MemberAddress
from mimosapond.member_scheduler import MemberScheduler
from mimosapond.metrics import Metrics
from mimosapond.options import Options
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.slot_allocator import SlotAllocator
from mimosapond.slot_grant import SlotGrant
from mimosapond.target_connection import TargetConnection
from mimosapond.target_port import TargetPort
from mimosapond.work_claim import WorkClaim
from mimosapond.work_decisions import WorkDecisions
from mimosapond.work_ticket import WorkTicket


@final
class MemberOwner:
    """Grants slots of one member, on the host that owns the member.

    Attributes
    ----------
    member
        The member and its limits.
    """

    def __init__(
        self,
        member: MemberAddress,
        target: TargetPort,
        options: Options,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Create an owner with an empty queue and without connections."""
        self.member = member
        self._clock = clock
        self._decisions = WorkDecisions(member.name, decisions, metrics)
        self._scheduler = MemberScheduler(member, options, self._decisions)
        self._allocator = SlotAllocator(self._scheduler, clock)
        self._is_stopping = False
        self._pool = ConnectionPool(
            member,
            target,
            clock,
            self._scheduler.capacity.connection_cap_count,
            options.connection_check_timeout_ms / MS_PER_S,
        )

    @property
    def queue_length_count(self) -> int:
        """Number of requests that wait for a slot."""
        return self._scheduler.queue_length_count

    @property
    def running_count(self) -> int:
        """Number of occupied slots."""
        return self._scheduler.capacity.running_count

    @property
    def held_count(self) -> int:
        """Number of connections in use, including parked connections."""
        return self._scheduler.capacity.held_count

    async def acquire(self, ticket: WorkTicket) -> SlotGrant | Refused:
        """Wait for a slot and a connection.

        Callers must await this call directly or under ``asyncio.timeout``. A
        wrapper that can drop the result of a finished call, such as
        ``asyncio.wait_for``, would leak the grant.

        Returns
        -------
        SlotGrant or Refused
            A grant that the caller must release, or the reason of the refusal.
        """
        if self._is_stopping:
            refusal = self._refuse_stopping()
            self._decisions.refused_by_owner(ticket, refusal)
            return refusal
        keeps = ticket.keeps_connection
        claim = WorkClaim.KEEPING if keeps else WorkClaim.SINGLE
        work = self._allocator.offer(ticket, claim)
        await self._allocator.wait_scheduled(work)
        if work.refusal is not None:
            return work.refusal
        return await self._connect(work)

    async def stop(self) -> None:
        """Refuse waiting work and wait until all grants are released.

        Work of open transactions is still served, so that the transactions can
        end.
        """
        self._is_stopping = True
        self._pool.close()
        self._allocator.refuse_arrivals(self._refuse_stopping())
        while self._is_stopping and self.held_count:
            await self._allocator.wait_change()
        if self._is_stopping:
            self._allocator.close()

    def reopen(self) -> None:
        """Accept new work again; a pending ``stop`` returns."""
        self._is_stopping = False
        self._pool.reopen()
        self._allocator.wake()

    async def _connect(self, work: ScheduledWork) -> SlotGrant | Refused:
        taken: TargetConnection | Refused | None = None
        try:
            taken = await self._pool.borrow()
        finally:
            if taken is None or isinstance(taken, Refused):
                self._allocator.abandon(work)
        if isinstance(taken, Refused):
            self._decisions.refused_by_owner(work.ticket, taken)
            return taken
        if self._clock.monotonic_s() >= work.ticket.deadline_s:
            return self._refuse_expired(work, taken)
        work.started_s = self._clock.monotonic_s()
        return SlotGrant(taken, work, self._allocator, self._pool)

    def _refuse_expired(
        self,
        work: ScheduledWork,
        connection: TargetConnection,
    ) -> Refused:
        self._pool.give_back(connection, reusable=True)
        self._allocator.abandon(work)
        refusal = refuse(RefusalReason.DEADLINE_EXCEEDED)
        self._decisions.refused_by_owner(work.ticket, refusal)
        return refusal

    def _refuse_stopping(self) -> Refused:
        return refuse(RefusalReason.NOT_OWNER, member=self.member.name)
