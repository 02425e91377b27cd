"""Drives the scheduler of one member from asyncio tasks and a timer."""

import asyncio
from typing import final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.due_timer import DueTimer
from mimosapond.member_scheduler import MemberScheduler
from mimosapond.refused import Refused
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.work_claim import WorkClaim
from mimosapond.work_state import WorkState
from mimosapond.work_ticket import WorkTicket


@final
class SlotAllocator:
    """Lets tasks wait for slots, and calls the scheduler when work is due.

    After each change it sets the timer to the time at which the next work ages
    or expires.
    """

    def __init__(self, scheduler: MemberScheduler, clock: Clock) -> None:
        """Drive ``scheduler`` with the time of ``clock``."""
        self._scheduler = scheduler
        self._clock = clock
        self._timer = DueTimer(clock, self._advance)
        self._changed = asyncio.Event()

    def offer(self, ticket: WorkTicket, claim: WorkClaim) -> ScheduledWork:
        """Start, queue or refuse new work, see ``MemberScheduler.offer``."""
        work = self._scheduler.offer(ticket, claim, self._clock.monotonic_s())
        self._timer.arm(self._scheduler.next_change_s)
        return work

    async def wait_scheduled(self, work: ScheduledWork) -> None:
        """Wait until ``work`` has a slot or is refused.

        If the wait is cancelled, the work is withdrawn. A slot that was granted
        before the cancellation reached the waiting task is freed.
        """
        if work.state is not WorkState.WAITING:
            return
        work.waiter = asyncio.get_running_loop().create_future()
        try:
            await work.waiter
        except asyncio.CancelledError:
            self.abandon(work)
            raise

    def abandon(self, work: ScheduledWork) -> None:
        """Withdraw work whose caller left or that cannot get a connection."""
        self._scheduler.abandon(work, self._clock.monotonic_s())
        self._changed.set()

    def refuse(self, work: ScheduledWork, refusal: Refused) -> None:
        """Refuse ``work`` if it waits; free its slot if it runs."""
        now_s = self._clock.monotonic_s()
        self._scheduler.refuse_waiting(work, refusal, now_s)
        self.abandon(work)

    def refuse_arrivals(self, refusal: Refused) -> None:
        """Refuse all waiting work that does not hold a connection yet."""
        now_s = self._clock.monotonic_s()
        self._scheduler.refuse_arrivals(refusal, now_s)
        self._changed.set()

    def keep(self, work: ScheduledWork) -> bool:
        """Let ``work`` keep its connection while it is parked, if allowed.

        Returns
        -------
        bool
            False if the limit of connections that may be parked is reached.
        """
        return self._scheduler.capacity.keep(work)

    def observe_duration(
        self, work: ScheduledWork, *, is_complete: bool
    ) -> None:
        """Update the cost estimate with the time that ``work`` has run.

        Parameters
        ----------
        is_complete
            Whether the work ran to its end. Otherwise its duration is only a
            lower bound of its cost.
        """
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
        slot_of: ScheduledWork | None,
        connection_of: ScheduledWork | None,
    ) -> None:
        """Free a slot, a connection or both, see ``MemberScheduler.finish``."""
        now_s = self._clock.monotonic_s()
        self._scheduler.finish(slot_of, connection_of, now_s)
        self._timer.arm(self._scheduler.next_change_s)
        self._changed.set()

    async def wait_change(self) -> None:
        """Wait until a slot or connection is freed or work is refused.

        The wait may also end without such a change, see ``wake``.
        """
        self._changed.clear()
        await self._changed.wait()

    def wake(self) -> None:
        """End ``wait_change`` without a change."""
        self._changed.set()

    def close(self) -> None:
        """Stop the timer. No work may wait at this time."""
        self._timer.cancel()

    def _advance(self) -> None:
        try:
            self._scheduler.advance(self._clock.monotonic_s())
        finally:
            # Without the timer, the remaining work would wait forever.
            self._timer.arm(self._scheduler.next_change_s)
            self._changed.set()
