"""Limits how many connections of a pool open transactions may hold.

A transaction may be idle for seconds, which is legal, and keeps its connection
all the time. Any open transaction may become idle at any moment, so all of them
count.
"""

from collections import Counter
from typing import Final, final

# Parts of a pool that the transactions of all workspaces, and those of one, may
# hold; at least one connection each.
_TOTAL_DIVISOR: Final = 2
_WORKSPACE_DIVISOR: Final = 4


@final
class TransactionBounds:
    """Counts the open transactions of callers with a workspace."""

    def __init__(self) -> None:
        """Start without transactions."""
        self._counts: Counter[str] = Counter()

    def allowed_count(self, workspace: str, limit_count: int) -> int:
        """Return how many more transactions of a workspace may begin.

        Parameters
        ----------
        workspace
            Workspace; without one, only the limit of the pool counts.
        limit_count
            Connections that the pool may have open.
        """
        if not workspace:
            return limit_count
        total_count = max(limit_count // _TOTAL_DIVISOR, 1)
        workspace_count = max(limit_count // _WORKSPACE_DIVISOR, 1)
        return min(
            total_count - self._counts.total(),
            workspace_count - self._counts[workspace],
        )

    def add(self, workspace: str) -> None:
        """Count a transaction that begins."""
        if workspace:
            self._counts[workspace] += 1

    def remove(self, workspace: str) -> None:
        """Stop counting a transaction."""
        if workspace:
            self._counts[workspace] -= 1
            if not self._counts[workspace]:
                self._counts.pop(workspace)
