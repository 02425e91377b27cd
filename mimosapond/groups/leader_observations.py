"""Log positions of a confirmed primary, by the time of the request.

A position that the primary returned to a request sent at time t covers every
commit that was acknowledged before t, provided that the member was still the
primary when it answered.
"""

from collections import deque
from typing import Final, final

import attrs

from mimosapond.groups.log_position import LogPosition

# Longer than any staleness that routes allow.
_RETENTION_S: Final = 10.0


@final
@attrs.frozen
class LeaderObservation:
    """A position of the primary and the time at which it was requested."""

    asked_s: float
    position: LogPosition


@final
class LeaderObservations:
    """Observations of one group within the retention time, oldest first."""

    def __init__(self) -> None:
        """Create an empty list."""
        self._entries: deque[LeaderObservation] = deque()

    def add(self, asked_s: float, position: LogPosition) -> None:
        """Add a position, unless a later request has already been added.

        Parameters
        ----------
        asked_s
            Time at which the request was sent.
        """
        entries = self._entries
        if entries and entries[-1].asked_s > asked_s:
            return
        entries.append(LeaderObservation(asked_s, position))
        while entries[0].asked_s < asked_s - _RETENTION_S:
            entries.popleft()

    def covering_position(self, time_s: float) -> LogPosition | None:
        """Return the lowest position that covers all commits before a time.

        Returns
        -------
        LogPosition | None
            None if no position was requested at that time or later.
        """
        for entry in self._entries:
            if entry.asked_s >= time_s:
                return entry.position
        return None

    def clear(self) -> None:
        """Remove all observations."""
        self._entries.clear()

    @property
    def newest(self) -> LeaderObservation | None:
        """The latest observation; None if there is none."""
        return self._entries[-1] if self._entries else None
