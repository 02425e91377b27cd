"""Decides at arrival whether work can start before its deadline."""

import math
from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.errors import refuse
from mimosapond.member_capacity import MemberCapacity
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.running_work import RunningWork
from mimosapond.waiting_work import WaitingWork
from mimosapond.work_queue import WorkQueue

_US_PER_S: Final = 1_000_000


@final
class Admission:
    """Compares the expected wait of arriving work with its deadline."""

    def __init__(
        self,
        member: str,
        capacity: MemberCapacity,
        queue: WorkQueue,
        running: RunningWork,
    ) -> None:
        """Read the state of one member's scheduler."""
        self._member = member
        self._capacity = capacity
        self._queue = queue
        self._running = running

    def expected_wait_s(self, work: WaitingWork, now_s: float) -> float:
        """Estimate the wait for a slot when none is free for ``work``.

        Time spent waiting for a connection is not included, since it depends
        on callers and not on the queue.
        """
        slot_count = self._capacity.slot_count
        short_us = self._short_ahead_us(work, now_s)
        if work.is_long or slot_count == 1:
            long_us = self._long_ahead_us(work, now_s)
            wait_us = short_us / slot_count
            wait_us += long_us / self._capacity.long_limit_count
        else:
            wait_us = short_us / (slot_count - self._capacity.long_count)
        return wait_us / _US_PER_S

    def refuse_overloaded(
        self,
        work: WaitingWork,
        wait_s: float,
        now_s: float,
    ) -> Refused:
        """Build the refusal; come again when the excess has been served."""
        excess_s = wait_s - max(0, work.ticket.deadline_s - now_s)
        return refuse(
            RefusalReason.OVERLOADED,
            retry_after_ms=max(1, math.ceil(excess_s * MS_PER_S)),
            wait_ms=math.ceil(wait_s * MS_PER_S),
            member=self._member,
        )

    def refuse_expired(self, work: WaitingWork) -> Refused:
        """Build the refusal of work that reached its deadline waiting."""
        # An average statement later, a slot or connection may be free.
        retry_after_ms = max(1, work.cost_us // MS_PER_S)
        if self._capacity.allows_workspace(work):
            return refuse(
                RefusalReason.DEADLINE_EXCEEDED,
                retry_after_ms=retry_after_ms,
            )
        return refuse(
            RefusalReason.WORKSPACE_LIMIT,
            retry_after_ms=retry_after_ms,
            workspace=work.ticket.workspace,
            limit_count=work.ticket.connection_limit_count,
        )

    def _short_ahead_us(self, work: WaitingWork, now_s: float) -> float:
        ahead_us = self._queue.short_backlog.ahead_us(work.rank, work.due_s)
        return ahead_us + self._running.remaining_us(now_s, is_long=False)

    def _long_ahead_us(self, work: WaitingWork, now_s: float) -> float:
        ahead_us = self._queue.long_backlog.ahead_us(work.rank, work.due_s)
        return ahead_us + self._running.remaining_us(now_s, is_long=True)
