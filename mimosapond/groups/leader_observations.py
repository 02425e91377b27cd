"""Log positions of a proven primary, by the time they were asked for.

A position that the primary gave to a request sent at time t covers every
commit that was acknowledged before t, provided that it led when it answered.
"""

from collections import deque
from typing import Final, final

import attrs

from mimosapond.groups.log_position import LogPosition

# Longer than any age that routes allow.
_RETENTION_S: Final = 10.0


@final
@attrs.frozen
class LeaderObservation:
    """A position and the moment at which it was asked for."""

    asked_s: float
    position: LogPosition


@final
class LeaderObservations:
    """Recent observations of one group, oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: deque[LeaderObservation] = deque()

    def add(self, asked_s: float, position: LogPosition) -> None:
        """Add what a proven primary answered."""
        entries = self._entries
        if entries and entries[-1].asked_s > asked_s:
            return
        entries.append(LeaderObservation(asked_s, position))
        while entries[0].asked_s < asked_s - _RETENTION_S:
            entries.popleft()

    def covering(self, moment_s: float) -> LogPosition | None:
        """Return the lowest position that covers commits before a moment."""
        for entry in self._entries:
            if entry.asked_s >= moment_s:
                return entry.position
        return None

    def clear(self) -> None:
        """Forget all."""
        self._entries.clear()

    @property
    def newest(self) -> LeaderObservation | None:
        """The latest observation."""
        return self._entries[-1] if self._entries else None
