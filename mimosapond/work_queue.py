"""All waiting work of one member, in the order of service."""

from collections.abc import Callable, Iterator
from typing import final

from mimosapond.backlog_index import BacklogIndex
from mimosapond.keyed_heap import KeyedHeap
from mimosapond.member_capacity import MemberCapacity
from mimosapond.waiting_work import WaitingWork
from mimosapond.work_claim import WorkClaim
from mimosapond.work_lanes import WorkLanes
from mimosapond.work_pace import WorkPace


@final
class WorkQueue:
    """Every operation costs O(log n), including removal from the middle.

    Attributes
    ----------
    short_backlog, long_backlog
        Expected cost of the waiting work.
    """

    def __init__(
        self,
        capacity: MemberCapacity,
        next_change_s: Callable[[WaitingWork], float],
    ) -> None:
        """Start empty; ``next_change_s`` dates the next timed change."""
        self._capacity = capacity
        self._next_change_s = next_change_s
        self._lanes = {
            (pace, claim): WorkLanes(capacity.allows_workspace)
            for pace in WorkPace
            for claim in WorkClaim
        }
        self._changes: KeyedHeap[WaitingWork] = KeyedHeap()
        self._worst: KeyedHeap[WaitingWork] = KeyedHeap()
        self.short_backlog = BacklogIndex()
        self.long_backlog = BacklogIndex()

    def __len__(self) -> int:
        """Return the number of waiting work."""
        return len(self._changes)

    def add(self, work: WaitingWork) -> None:
        """Add ``work`` at its place."""
        self._lanes[work.pace, work.claim].add(work)
        self._changes.put(work, (self._next_change_s(work),))
        if work.claim is not WorkClaim.RESUMED:
            self._worst.put(work, tuple(-part for part in work.key))
        self._backlog(work).add(work.rank, work.due_s, work.cost_us)

    def remove(self, work: WaitingWork) -> None:
        """Remove ``work``; its key must not have changed since ``add``."""
        self._lanes[work.pace, work.claim].discard(work)
        self._changes.discard(work)
        self._worst.discard(work)
        self._backlog(work).add(work.rank, work.due_s, -work.cost_us)

    def refresh(self, workspace: str) -> None:
        """Follow a change of the connections the workspace holds."""
        for lanes in self._lanes.values():
            lanes.refresh(workspace)

    def next_eligible(self) -> WaitingWork | None:
        """Return the first work that may start now."""
        best: WaitingWork | None = None
        if not self._capacity.free_slot_count:
            return best
        for (pace, claim), lanes in self._lanes.items():
            head = lanes.first()
            if head is None or not self._is_open(pace, claim):
                continue
            if best is None or head.key < best.key:
                best = head
        return best

    def next_changing(self, now_s: float) -> WaitingWork | None:
        """Return work that ages or expires by ``now_s``."""
        due_s = self.next_change_s()
        if due_s is None or due_s > now_s:
            return None
        return self._changes.first()

    def next_change_s(self) -> float | None:
        """Return when the next work ages or expires."""
        key = self._changes.first_key()
        return None if key is None else key[0]

    def worst(self) -> WaitingWork | None:
        """Return the work that is served last and holds no connection."""
        return self._worst.first()

    def heads(self) -> Iterator[WaitingWork]:
        """Return the first work of each lane, also of closed ones."""
        for lanes in self._lanes.values():
            yield from lanes.heads()

    def waiting(self) -> tuple[WaitingWork, ...]:
        """Return all waiting work."""
        return self._changes.items()

    def _is_open(self, pace: WorkPace, claim: WorkClaim) -> bool:
        return self._capacity.allows_pace(pace) and (
            self._capacity.allows_claim(claim)
        )

    def _backlog(self, work: WaitingWork) -> BacklogIndex:
        return self.long_backlog if work.is_long else self.short_backlog
