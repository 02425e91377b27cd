"""Waiting work of one pace and claim, with one lane per workspace.

A workspace at its connection limit closes its lane, so that its waiting work
costs nothing in decisions about other workspaces.
"""

from collections.abc import Callable, Iterator
from typing import final

from mimosapond.keyed_heap import KeyedHeap
from mimosapond.waiting_work import WaitingWork


@final
class WorkLanes:
    """Finds the first work in the order of service among open lanes."""

    def __init__(self, is_open: Callable[[WaitingWork], bool]) -> None:
        """Ask ``is_open`` whether the workspace of a work has room."""
        self._is_open = is_open
        self._lanes: dict[str, KeyedHeap[WaitingWork]] = {}
        self._open: KeyedHeap[str] = KeyedHeap()

    def add(self, work: WaitingWork) -> None:
        """Add ``work`` at its place."""
        workspace = work.ticket.workspace
        lane = self._lanes.setdefault(workspace, KeyedHeap())
        lane.put(work, work.key)
        self.refresh(workspace)

    def discard(self, work: WaitingWork) -> None:
        """Remove ``work``."""
        workspace = work.ticket.workspace
        lane = self._lanes.get(workspace)
        if lane is not None:
            lane.discard(work)
            self.refresh(workspace)

    def refresh(self, workspace: str) -> None:
        """Open or close the lane after a change of it or of its limit."""
        lane = self._lanes.get(workspace)
        if lane is None:
            return
        head = lane.first()
        if head is None:
            self._lanes.pop(workspace)
        if head is not None and self._is_open(head):
            self._open.put(workspace, head.key)
        else:
            self._open.discard(workspace)

    def first(self) -> WaitingWork | None:
        """Return the first work of the open lanes."""
        workspace = self._open.first()
        return None if workspace is None else self._lanes[workspace].first()

    def heads(self) -> Iterator[WaitingWork]:
        """Return the first work of each lane, open or not."""
        for lane in self._lanes.values():
            head = lane.first()
            if head is not None:
                yield head
