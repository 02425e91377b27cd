"""Admission control: estimates whether work can start by its deadline."""

import math
from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.errors import refuse
from mimosapond.member_capacity import MemberCapacity
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.running_work import RunningWork
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.work_queue import WorkQueue

_US_PER_S: Final = 1_000_000


@final
class Admission:
    """Estimates the wait of arriving work and builds refusals."""

    def __init__(
        self,
        member: str,
        capacity: MemberCapacity,
        queue: WorkQueue,
        running: RunningWork,
    ) -> None:
        """Use the state of the scheduler of ``member``."""
        self._member = member
        self._capacity = capacity
        self._queue = queue
        self._running = running

    def expected_wait_s(self, work: ScheduledWork, now_s: float) -> float:
        """Estimate the wait for a slot when none is free for ``work``.

        The wait for a connection is not included, because it depends on the
        callers and not on the queue.
        """
        slot_count = self._capacity.slot_count
        short_us = self._short_cost_ahead_us(work, now_s)
        if work.is_long or slot_count == 1:
            long_us = self._long_cost_ahead_us(work, now_s)
            wait_us = short_us / slot_count
            wait_us += long_us / self._capacity.long_limit_count
        else:
            wait_us = short_us / (slot_count - self._capacity.long_count)
        return wait_us / _US_PER_S

    def refuse_overloaded(
        self,
        work: ScheduledWork,
        wait_s: float,
        now_s: float,
    ) -> Refused:
        """Build the refusal of work whose expected wait exceeds its deadline.

        The caller should retry after the time by which the expected wait
        exceeds the deadline.
        """
        excess_s = wait_s - max(0, work.ticket.deadline_s - now_s)
        return refuse(
            RefusalReason.OVERLOADED,
            retry_after_ms=max(1, math.ceil(excess_s * MS_PER_S)),
            wait_ms=math.ceil(wait_s * MS_PER_S),
            member=self._member,
        )

    def refuse_expired(self, work: ScheduledWork) -> Refused:
        """Build the refusal of work that reached its deadline while waiting.

        The reason is the limit of the workspace if that limit prevents the
        work from starting.
        """
        # After the duration of an average statement, a slot or connection may
        # be free.
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

    def _short_cost_ahead_us(self, work: ScheduledWork, now_s: float) -> float:
        cost_ahead_us = self._queue.short_backlog.cost_ahead_us(
            work.rank, work.due_s
        )
        return cost_ahead_us + self._running.remaining_us(now_s, is_long=False)

    def _long_cost_ahead_us(self, work: ScheduledWork, now_s: float) -> float:
        cost_ahead_us = self._queue.long_backlog.cost_ahead_us(
            work.rank, work.due_s
        )
        return cost_ahead_us + self._running.remaining_us(now_s, is_long=True)
