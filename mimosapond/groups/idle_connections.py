"""The places of a pool under its limit, and its idle connections."""

import bisect
import enum
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.pooled_connection import PooledConnection

# Time for which an idle connection, and a borrower of another workspace that
# needs its place, are kept as they are. It is the time that the member spends
# on a new connection, so a reuse within it is cheaper than a replacement.
MIN_REPLACED_AGE_S: Final = 0.012
# Time after the end of a connection in which no other is opened, so that the
# member notices the end first and never counts more than the limit.
_SETTLE_S: Final = 0.002
# Connections that may be opened beyond the limit while a probe waits, so that
# probes do not wait for connections whose requests are stuck.
_PROBE_RESERVE_COUNT: Final = 1


@final
class PlaceClaim(enum.Enum):
    """Whether a connection may be opened for a borrower.

    Attributes
    ----------
    free
        It may. The limit was not reached, or an idle connection was closed.
    soon
        Not yet: the idle connections were all in use a moment ago.
    refused
        Not before a borrowed connection is released.
    """

    free = 'free'
    soon = 'soon'
    refused = 'refused'


@final
class IdleConnections:
    """Idle connections, ordered by the time since when they are idle.

    Attributes
    ----------
    open_count
        Connections of the pool that are open or being opened, borrowed ones
        included.
    limit_count
        Connections that the pool may have open.
    """

    def __init__(self, now: Now) -> None:
        """Start without connections, and a limit of one."""
        self._now = now
        self._closed_s = -math.inf
        self._connections: list[PooledConnection] = []
        self.open_count = 0
        self.limit_count = 1

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._connections)

    @property
    def settle_left_s(self) -> float:
        """Time until a connection may be opened after the end of another."""
        return max(self._closed_s + _SETTLE_S - self._now(), 0)

    @property
    def is_over_limit(self) -> bool:
        """Whether more connections are open than the limit allows now."""
        return self.open_count > self.limit_count

    def may_keep(self, *, is_awaited: bool) -> bool:
        """Return whether a released connection may stay open.

        The one that was opened for a probe beyond the limit is given to a
        borrower that waits for it, but it is not kept as an idle connection.
        """
        reserve_count = _PROBE_RESERVE_COUNT * is_awaited
        return self.open_count <= self.limit_count + reserve_count

    def claim_place(
        self, waiting_since_s: float, *, is_probe: bool
    ) -> PlaceClaim:
        """Take a place under the limit for a connection.

        At the limit, it is that of the least recently used idle connection.
        The connection may be opened after ``settle_left_s``.
        """
        reserve_count = _PROBE_RESERVE_COUNT * is_probe
        if self.open_count < self.limit_count + reserve_count:
            self.open_count += 1
            return PlaceClaim.free
        if not self._connections or self.is_over_limit:
            return PlaceClaim.refused
        oldest = self._connections[0]
        age_s = self._now() - min(oldest.idle_since_s, waiting_since_s)
        if age_s < MIN_REPLACED_AGE_S:
            return PlaceClaim.soon
        self._close(oldest)
        self.open_count += 1
        return PlaceClaim.free

    def release_place(self) -> None:
        """Free the place of a connection that has ended."""
        self._closed_s = self._now()
        self.open_count -= 1

    def has(self, workspace: str) -> bool:
        """Return whether a connection belongs to a workspace."""
        return any(
            connection.workspace == workspace
            for connection in self._connections
        )

    def add(self, connection: PooledConnection) -> None:
        """Add a connection at the place that its idle time gives it."""
        bisect.insort(
            self._connections,
            connection,
            key=lambda other: other.idle_since_s,
        )

    def take(
        self, workspace: str | None, values: Mapping[str, str]
    ) -> PooledConnection | None:
        """Remove and return a connection that a borrower may use.

        Parameters
        ----------
        workspace
            Workspace that the connection must have been opened for. None for
            any; connections of workspaces are then preferred, so that one
            without a workspace becomes the least recently used.
        values
            A connection that has exactly these session values is preferred.

        Returns
        -------
        PooledConnection | None
            The most recently used one, but before it one that can end a doubt
            about the process of the member; None if there is none.
        """
        self._close_broken()
        usable = [
            connection
            for connection in reversed(self._connections)
            if workspace is None or connection.workspace == workspace
        ]
        if not usable:
            return None
        usable.sort(key=lambda connection: not connection.workspace)
        chosen = (
            _first(usable, lambda one: one.may_end_doubt())
            or _first(usable, lambda one: one.session_values == values)
            or usable[0]
        )
        self._connections.remove(chosen)
        return chosen

    def trim(self, keep_count: int, idle_before_s: float) -> None:
        """Close connections beyond the limit, and those that are not needed.

        Parameters
        ----------
        keep_count
            Number of open connections that are kept however long they idle.
        idle_before_s
            Connections beyond that number that are idle since an earlier time
            are closed, unless they can still show which process runs.
        """
        self._close_broken()
        for connection in tuple(self._connections):
            is_expired = (
                connection.idle_since_s < idle_before_s
                and not connection.may_end_doubt()
            )
            if self.is_over_limit or (
                is_expired and self.open_count > keep_count
            ):
                self._close(connection)

    def close_all(self) -> None:
        """Close all idle connections."""
        for connection in tuple(self._connections):
            self._close(connection)

    def _close_broken(self) -> None:
        for connection in tuple(self._connections):
            if not connection.link.is_open:
                connection.record_loss()
                self._close(connection)

    def _close(self, connection: PooledConnection) -> None:
        self._connections.remove(connection)
        connection.link.close()
        self.release_place()
        if not self.open_count:
            # Nothing would show that the process ends.
            connection.record_loss()


def _first(
    connections: Iterable[PooledConnection],
    fits: Callable[[PooledConnection], bool],
) -> PooledConnection | None:
    return next((one for one in connections if fits(one)), None)
