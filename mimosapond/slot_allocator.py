"""Connects waiting tasks, the timer and run times to a scheduler."""

import asyncio
from typing import final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.due_timer import DueTimer
from mimosapond.member_scheduler import MemberScheduler
from mimosapond.refused import Refused
from mimosapond.waiting_work import WaitingWork
from mimosapond.work_claim import WorkClaim
from mimosapond.work_state import WorkState
from mimosapond.work_ticket import WorkTicket


@final
class SlotAllocator:
    """Asynchronous side of one member's scheduler."""

    def __init__(self, scheduler: MemberScheduler, clock: Clock) -> None:
        """Drive ``scheduler`` by ``clock``."""
        self._scheduler = scheduler
        self._clock = clock
        self._timer = DueTimer(clock, self._advance)
        self._changed = asyncio.Event()

    def offer(self, ticket: WorkTicket, claim: WorkClaim) -> WaitingWork:
        """Hand new work to the scheduler."""
        work = self._scheduler.offer(ticket, claim, self._clock.monotonic_s())
        self._timer.arm(self._scheduler.next_change_s)
        return work

    async def settle(self, work: WaitingWork) -> None:
        """Wait until ``work`` has a slot or is refused.

        A cancelled wait gives back what the work holds, also when the slot
        was granted before the cancellation reached the waiting task.
        """
        if work.state is not WorkState.WAITING:
            return
        work.waiter = asyncio.get_running_loop().create_future()
        try:
            await work.waiter
        except asyncio.CancelledError:
            self.abandon(work)
            raise

    def abandon(self, work: WaitingWork) -> None:
        """Withdraw work whose caller is gone, or that can't be served."""
        self._scheduler.abandon(work, self._clock.monotonic_s())
        self._changed.set()

    def refuse(self, work: WaitingWork, why: Refused) -> None:
        """End work that still waits, or take its slot back."""
        now_s = self._clock.monotonic_s()
        self._scheduler.refuse_waiting(work, why, now_s)
        self.abandon(work)

    def refuse_arrivals(self, why: Refused) -> None:
        """Refuse all work that waits for a connection."""
        now_s = self._clock.monotonic_s()
        self._scheduler.refuse_arrivals(why, now_s)
        self._changed.set()

    def keep(self, work: WaitingWork) -> bool:
        """Let ``work`` keep its connection while parked, if allowed."""
        return self._scheduler.capacity.keep(work)

    def note_duration(self, work: WaitingWork, *, is_complete: bool) -> None:
        """Learn from the time since the connection of ``work`` was ready."""
        duration_s = self._clock.monotonic_s() - work.started_s
        fingerprint = work.ticket.fingerprint
        estimator = self._scheduler.estimator
        if is_complete:
            estimator.add_duration(fingerprint, duration_s * MS_PER_S)
        else:
            estimator.add_unfinished_duration(
                fingerprint, duration_s * MS_PER_S
            )

    def finish(
        self,
        slot_of: WaitingWork | None,
        connection_of: WaitingWork | None,
    ) -> None:
        """Free a slot, a connection or both."""
        now_s = self._clock.monotonic_s()
        self._scheduler.finish(slot_of, connection_of, now_s)
        self._timer.arm(self._scheduler.next_change_s)
        self._changed.set()

    async def wait_change(self) -> None:
        """Wait until something was freed or refused."""
        self._changed.clear()
        await self._changed.wait()

    def wake(self) -> None:
        """End ``wait_change`` without a change."""
        self._changed.set()

    def close(self) -> None:
        """Stop the timer; nothing may wait any more."""
        self._timer.cancel()

    def _advance(self) -> None:
        try:
            self._scheduler.advance(self._clock.monotonic_s())
        finally:
            # Without a timer, the remaining work would wait without end.
            self._timer.arm(self._scheduler.next_change_s)
            self._changed.set()
