"""Waiting work of one member, in the order of service."""

from collections.abc import Callable, Iterator
from typing import final

from mimosapond.backlog_index import BacklogIndex
from mimosapond.duration_class import DurationClass
from mimosapond.keyed_heap import KeyedHeap
from mimosapond.member_capacity import MemberCapacity
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.work_claim import WorkClaim
from mimosapond.workspace_queues import WorkspaceQueues


@final
class WorkQueue:
    """Priority queue of all waiting work of one member.

    Adding, removing and finding work costs O(log n), also for work in the
    middle of the queue.

    Attributes
    ----------
    short_backlog, long_backlog
        Expected cost of the waiting short and long work.
    """

    def __init__(
        self,
        capacity: MemberCapacity,
        next_change_s: Callable[[ScheduledWork], float],
    ) -> None:
        """Create an empty queue.

        Parameters
        ----------
        next_change_s
            Returns the monotonic time at which the work ages or expires next.
        """
        self._capacity = capacity
        self._next_change_s = next_change_s
        self._queues = {
            (duration_class, claim): WorkspaceQueues(capacity.allows_workspace)
            for duration_class in DurationClass
            for claim in WorkClaim
        }
        self._by_next_change: KeyedHeap[ScheduledWork] = KeyedHeap()
        # Work that holds no connection, in reverse order of service.
        self._by_reverse_order: KeyedHeap[ScheduledWork] = KeyedHeap()
        self.short_backlog = BacklogIndex()
        self.long_backlog = BacklogIndex()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._by_next_change)

    def add(self, work: ScheduledWork) -> None:
        """Add ``work`` in the order of service."""
        self._queues[work.duration_class, work.claim].add(work)
        self._by_next_change.put(work, (self._next_change_s(work),))
        if work.claim is not WorkClaim.RESUMED:
            self._by_reverse_order.put(work, tuple(-part for part in work.key))
        self._backlog(work).add(work.rank, work.due_s, work.cost_us)

    def remove(self, work: ScheduledWork) -> None:
        """Remove ``work``, whose key must be the same as when it was added."""
        self._queues[work.duration_class, work.claim].discard(work)
        self._by_next_change.discard(work)
        self._by_reverse_order.discard(work)
        self._backlog(work).add(work.rank, work.due_s, -work.cost_us)

    def refresh(self, workspace: str) -> None:
        """Update the queues after a change of the workspace's connections."""
        for queues in self._queues.values():
            queues.refresh(workspace)

    def next_eligible(self) -> ScheduledWork | None:
        """Return the first work that may start now, or None."""
        earliest: ScheduledWork | None = None
        if not self._capacity.free_slot_count:
            return earliest
        for (duration_class, claim), queues in self._queues.items():
            head = queues.first()
            if head is None or not self._has_capacity(duration_class, claim):
                continue
            if earliest is None or head.key < earliest.key:
                earliest = head
        return earliest

    def next_due(self, now_s: float) -> ScheduledWork | None:
        """Return work that ages or expires at or before ``now_s``, or None."""
        due_s = self.next_change_s()
        if due_s is None or due_s > now_s:
            return None
        return self._by_next_change.first()

    def next_change_s(self) -> float | None:
        """Return the monotonic time at which work ages or expires next."""
        key = self._by_next_change.first_key()
        return None if key is None else key[0]

    def last(self) -> ScheduledWork | None:
        """Return the last work in the order that holds no connection."""
        return self._by_reverse_order.first()

    def heads(self) -> Iterator[ScheduledWork]:
        """Return the first work of each queue, including blocked queues."""
        for queues in self._queues.values():
            yield from queues.heads()

    def waiting(self) -> tuple[ScheduledWork, ...]:
        """Return all waiting work."""
        return self._by_next_change.items()

    def _has_capacity(
        self, duration_class: DurationClass, claim: WorkClaim
    ) -> bool:
        return self._capacity.allows_duration(duration_class) and (
            self._capacity.allows_claim(claim)
        )

    def _backlog(self, work: ScheduledWork) -> BacklogIndex:
        return self.long_backlog if work.is_long else self.short_backlog
