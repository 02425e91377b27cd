"""A ticket in the scheduler, with its place in the order of service."""

import asyncio
from typing import TypeAlias, final

from mimosapond.refused import Refused
from mimosapond.work_claim import WorkClaim
from mimosapond.work_pace import WorkPace
from mimosapond.work_state import WorkState
from mimosapond.work_ticket import WorkTicket

OrderKey: TypeAlias = tuple[float, float, float]


@final
class WaitingWork:
    """Mutable state of one ticket from its arrival to its end.

    Attributes
    ----------
    cost_us
        Expected slot time when it arrived.
    rank, due_s
        Class rank and deadline that order it; aging lowers both.
    queue_length_count
        Work that was waiting when it arrived.
    refusal
        Set when it ended without a slot.
    waiter
        Completed when the work leaves the queue, if somebody waits.
    """

    def __init__(
        self,
        ticket: WorkTicket,
        claim: WorkClaim,
        pace: WorkPace,
        cost_us: int,
        arrived_s: float,
        serial: int,
    ) -> None:
        """Place the ticket by its class and deadline."""
        self.ticket = ticket
        self.claim = claim
        self.pace = pace
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
        """Order of service; smaller is served first."""
        return (self.rank, self.due_s, self._serial)

    @property
    def is_long(self) -> bool:
        """Whether the work counts against the limit of long work."""
        return self.pace is not WorkPace.SHORT

    def age(self, now_s: float) -> None:
        """Raise the work by one class, in front of that class's newer work.

        The time of the raise takes the place of the deadline. With its own
        deadline, batch work with minutes left would stay behind all urgent
        work and starve.
        """
        self.raised_count += 1
        self.rank = max(0, self.rank - 1)
        self.due_s = min(self.due_s, now_s)

    def notify(self) -> None:
        """Wake the task that waits for the work to leave the queue."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)
