"""Scheduling state of one ticket."""

import asyncio
from typing import TypeAlias, final

from mimosapond.duration_class import DurationClass
from mimosapond.refused import Refused
from mimosapond.work_claim import WorkClaim
from mimosapond.work_state import WorkState
from mimosapond.work_ticket import WorkTicket

OrderKey: TypeAlias = tuple[float, float, float]


@final
class ScheduledWork:
    """State of one ticket from its arrival until it is finished or refused.

    Attributes
    ----------
    cost_us
        Expected slot time, estimated on arrival.
    started_s
        Monotonic time at which the work got its slot or its connection,
        whichever is later. The time of arrival until then.
    rank, due_s
        Rank of the class and monotonic deadline that determine the order of
        service. Aging lowers both.
    raised_count
        Number of times that aging raised the work.
    queue_length_count
        Number of requests that waited on arrival.
    refusal
        Reason of the refusal if the work was refused.
    waiter
        Completed when the work leaves the queue; None if no task waits.
    """

    def __init__(
        self,
        ticket: WorkTicket,
        claim: WorkClaim,
        duration_class: DurationClass,
        cost_us: int,
        arrived_s: float,
        serial: int,
    ) -> None:
        """Create waiting work that is ordered by its class and deadline.

        Parameters
        ----------
        serial
            Order of arrival, which decides between work with equal deadlines.
        """
        self.ticket = ticket
        self.claim = claim
        self.duration_class = duration_class
        self.cost_us = cost_us
        self.arrived_s = arrived_s
        self.started_s = arrived_s
        self.rank = ticket.work_class.rank
        self.due_s = ticket.deadline_s
        self.raised_count = 0
        self.queue_length_count = 0
        self.state = WorkState.WAITING
        self.refusal: Refused | None = None
        self.waiter: asyncio.Future[None] | None = None
        self._serial = serial

    @property
    def key(self) -> OrderKey:
        """Position in the order of service; the smallest is served first."""
        return (self.rank, self.due_s, self._serial)

    @property
    def is_long(self) -> bool:
        """Whether the work counts against the limit of long work."""
        return self.duration_class is not DurationClass.SHORT

    def age(self, now_s: float) -> None:
        """Raise the work by one class, ahead of newer work of that class.

        The current time replaces the deadline in the order of service. With its
        own deadline, batch work that has minutes left would stay behind all
        urgent work and starve.
        """
        self.raised_count += 1
        self.rank = max(0, self.rank - 1)
        self.due_s = min(self.due_s, now_s)

    def notify(self) -> None:
        """Wake the task that waits for the work to leave the queue."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
