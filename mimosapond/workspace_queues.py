"""Waiting work of one duration class and claim, in a queue per workspace.

The queue of a workspace that has reached its connection limit is blocked. The
scheduler skips it without a look at its work.
"""

from collections.abc import Callable, Iterator
from typing import final

from mimosapond.keyed_heap import KeyedHeap
from mimosapond.scheduled_work import ScheduledWork


@final
class WorkspaceQueues:
    """Finds the first work in the order of service that is not blocked."""

    def __init__(
        self, allows_workspace: Callable[[ScheduledWork], bool]
    ) -> None:
        """Create empty queues.

        Parameters
        ----------
        allows_workspace
            Returns whether the workspace of the work is below its connection
            limit.
        """
        self._allows_workspace = allows_workspace
        self._queues: dict[str, KeyedHeap[ScheduledWork]] = {}
        # Workspaces that are not blocked, ordered by their first work.
        self._eligible: KeyedHeap[str] = KeyedHeap()

    def add(self, work: ScheduledWork) -> None:
        """Add ``work`` in the order of service."""
        workspace = work.ticket.workspace
        queue = self._queues.setdefault(workspace, KeyedHeap())
        queue.put(work, work.key)
        self.refresh(workspace)

    def discard(self, work: ScheduledWork) -> None:
        """Remove ``work`` if it is queued."""
        workspace = work.ticket.workspace
        queue = self._queues.get(workspace)
        if queue is not None:
            queue.discard(work)
            self.refresh(workspace)

    def refresh(self, workspace: str) -> None:
        """Block or unblock the queue of ``workspace``.

        Call it after each change of the queue and after each change of the
        number of connections that the workspace holds.
        """
        queue = self._queues.get(workspace)
        if queue is None:
            return
        head = queue.first()
        if head is None:
            self._queues.pop(workspace)
        if head is not None and self._allows_workspace(head):
            self._eligible.put(workspace, head.key)
        else:
            self._eligible.discard(workspace)

    def first(self) -> ScheduledWork | None:
        """Return the first work of all queues that are not blocked."""
        workspace = self._eligible.first()
        return None if workspace is None else self._queues[workspace].first()

    def heads(self) -> Iterator[ScheduledWork]:
        """Return the first work of each queue, including blocked queues."""
        for queue in self._queues.values():
            head = queue.first()
            if head is not None:
                yield head
