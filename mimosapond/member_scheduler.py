"""Decides which work gets the slots and connections of one member.

There is one scheduler per member, on the host that owns the member, because
only a single queue can order all work of a member exactly. Its methods are
synchronous. Each method that adds work or frees capacity ends with a dispatch,
so that no slot stays free between two calls while eligible work waits.
"""

import itertools
import math
from typing import Final, final

from mimosapond.admission import Admission
from mimosapond.clock import MS_PER_S
from mimosapond.cost_estimator import CostEstimator
from mimosapond.duration_class import DurationClass
from mimosapond.invariants import check_invariant
from mimosapond.member_address import MemberAddress
from mimosapond.member_capacity import MemberCapacity
from mimosapond.options import Options
from mimosapond.refused import Refused
from mimosapond.running_work import RunningWork
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.work_claim import WorkClaim
from mimosapond.work_decisions import WorkDecisions
from mimosapond.work_queue import WorkQueue
from mimosapond.work_state import WorkState
from mimosapond.work_ticket import WorkTicket


@final
class MemberScheduler:
    """Orders work by class, then deadline, within the limits of the member.

    Every method takes the current monotonic time, which must not decrease.
    """

    def __init__(
        self,
        member: MemberAddress,
        options: Options,
        decisions: WorkDecisions,
    ) -> None:
        """Create a scheduler without waiting or running work."""
        self._member = member.name
        self._aging_step_s: Final = options.aging_step_s
        self._queue_limit_count: Final = options.queue_limit_count
        self._decisions = decisions
        self._serials = itertools.count()
        self._running = RunningWork()
        self.estimator = CostEstimator(options.long_statement_ms)
        self.capacity = MemberCapacity(member, options.connection_share_ratio)
        self._queue = WorkQueue(self.capacity, self._next_change_s)
        self._admission = Admission(
            member.name, self.capacity, self._queue, self._running
        )

    @property
    def queue_length_count(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def next_change_s(self) -> float | None:
        """Monotonic time at which ``advance`` is due; None if nothing waits."""
        return self._queue.next_change_s()

    def offer(
        self,
        ticket: WorkTicket,
        claim: WorkClaim,
        now_s: float,
    ) -> ScheduledWork:
        """Start, queue or refuse new work.

        Work that may start at once does not overtake other eligible work: after
        a dispatch, some limit holds back each waiting request.

        Returns
        -------
        ScheduledWork
            Its ``state`` shows whether it runs, waits or was refused; after a
            refusal, ``refusal`` is set.
        """
        self.advance(now_s)
        work = self._build_work(ticket, claim, now_s)
        if ticket.deadline_s <= now_s:
            self._refuse(work, self._admission.refuse_expired(work), now_s)
        elif self.capacity.allows(work):
            self._start(work, now_s)
        else:
            self._admit(work, now_s)
        self._dispatch(now_s)
        return work

    def finish(
        self,
        slot_of: ScheduledWork | None,
        connection_of: ScheduledWork | None,
        now_s: float,
    ) -> None:
        """Free a slot, a connection or both.

        Parameters
        ----------
        slot_of
            Work whose slot is free now, if any.
        connection_of
            Work whose connection is free now, if any. It differs from
            ``slot_of`` if parked work was resumed.
        """
        if slot_of is not None and slot_of.state is WorkState.RUNNING:
            slot_of.state = WorkState.ENDED
            self._running.discard(slot_of)
            self.capacity.free_slot(slot_of)
        if connection_of is not None:
            self.capacity.free_connection(connection_of)
            self._queue.refresh(connection_of.ticket.workspace)
        self.advance(now_s)

    def abandon(self, work: ScheduledWork, now_s: float) -> None:
        """Withdraw work whose caller has gone, in whichever state it is."""
        match work.state:
            case WorkState.WAITING:
                self._queue.remove(work)
                work.state = WorkState.ENDED
                self._decisions.withdrawn(work, now_s)
                self.advance(now_s)
            case WorkState.RUNNING:
                uses_only_slot = work.claim is WorkClaim.RESUMED
                self.finish(work, None if uses_only_slot else work, now_s)
            case WorkState.ENDED:
                """Refused work holds neither a slot nor a connection."""

    def refuse_waiting(
        self, work: ScheduledWork, why: Refused, now_s: float
    ) -> None:
        """Refuse ``work`` if it still waits."""
        if work.state is WorkState.WAITING:
            self._queue.remove(work)
            self._refuse(work, why, now_s)

    def refuse_arrivals(self, why: Refused, now_s: float) -> None:
        """Refuse all waiting work that does not hold a connection yet."""
        for work in self._queue.waiting():
            if work.claim is not WorkClaim.RESUMED:
                self.refuse_waiting(work, why, now_s)

    def advance(self, now_s: float) -> None:
        """Age and expire work that is due, then start all eligible work."""
        work = self._queue.next_due(now_s)
        while work is not None:
            self._queue.remove(work)
            if work.ticket.deadline_s <= now_s:
                refusal = self._admission.refuse_expired(work)
                self._refuse(work, refusal, now_s)
            else:
                work.age(now_s)
                self._queue.add(work)
            work = self._queue.next_due(now_s)
        self._dispatch(now_s)

    def _build_work(
        self,
        ticket: WorkTicket,
        claim: WorkClaim,
        now_s: float,
    ) -> ScheduledWork:
        cost_ms = self.estimator.expected_ms(ticket.fingerprint)
        is_long = ticket.is_long
        if is_long is None:
            is_long = self.estimator.is_long(ticket.fingerprint)
        work = ScheduledWork(
            ticket,
            claim,
            DurationClass.LONG if is_long else DurationClass.SHORT,
            math.ceil(cost_ms * MS_PER_S),
            now_s,
            next(self._serials),
        )
        work.queue_length_count = len(self._queue)
        return work

    def _next_change_s(self, work: ScheduledWork) -> float:
        """Return when ``work`` expires or, below the highest class, ages."""
        deadline_s = work.ticket.deadline_s
        if work.rank == 0:
            return deadline_s
        steps_s = (work.raised_count + 1) * self._aging_step_s
        return min(deadline_s, work.arrived_s + steps_s)

    def _admit(self, work: ScheduledWork, now_s: float) -> None:
        wait_s = self._admission.expected_wait_s(work, now_s)
        is_late = now_s + wait_s > work.ticket.deadline_s
        if is_late or not self._make_room(work, now_s):
            refusal = self._admission.refuse_overloaded(work, wait_s, now_s)
            self._refuse(work, refusal, now_s)
        else:
            self._queue.add(work)

    def _make_room(self, work: ScheduledWork, now_s: float) -> bool:
        """Return whether ``work`` may enter the queue.

        If the queue is full, its last work is refused in favour of work of a
        higher class. Otherwise waiting batch work would block urgent work.
        """
        is_full = len(self._queue) >= self._queue_limit_count
        if not is_full or work.claim is WorkClaim.RESUMED:
            return True
        last = self._queue.last()
        if last is None or last.rank <= work.rank:
            return False
        wait_s = self._admission.expected_wait_s(last, now_s)
        refusal = self._admission.refuse_overloaded(last, wait_s, now_s)
        self.refuse_waiting(last, refusal, now_s)
        return True

    def _dispatch(self, now_s: float) -> None:
        work = self._queue.next_eligible()
        while work is not None:
            self._queue.remove(work)
            self._start(work, now_s)
            work = self._queue.next_eligible()
        self._check_work_conserving()

    def _start(self, work: ScheduledWork, now_s: float) -> None:
        self.capacity.take_slot(work)
        if work.claim is not WorkClaim.RESUMED:
            self.capacity.take_connection(work)
            self._queue.refresh(work.ticket.workspace)
        self._running.add(work)
        work.state = WorkState.RUNNING
        work.started_s = now_s
        self._decisions.granted(work, now_s)
        work.notify()

    def _refuse(self, work: ScheduledWork, why: Refused, now_s: float) -> None:
        work.state = WorkState.ENDED
        work.refusal = why
        self._decisions.refused(work, why, now_s)
        work.notify()

    def _check_work_conserving(self) -> None:
        """Check that no eligible work waits.

        The check reads the queue of each workspace and not the index of the
        eligible queues, because a fault would leave the index out of date.
        """
        if self.capacity.free_slot_count == 0 or not self._queue:
            return
        check_invariant(
            'no free slot while eligible work waits',
            self._member,
            holds=not any(map(self.capacity.allows, self._queue.heads())),
        )
