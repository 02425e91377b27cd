"""Age trackers of the groups of which this host owns a member."""

from typing import final

from mimosapond.age_tracker import AgeTracker
from mimosapond.clock import Clock


@final
class AgeTrackers:
    """One age tracker per group.

    The trackers are shared by the keepers, which add beacons, and the member
    reader, which asks for the age of data.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without trackers."""
        self._clock = clock
        self._trackers: dict[str, AgeTracker] = {}

    def tracker(self, group: str) -> AgeTracker:
        """Return the tracker of ``group``; create it if there is none."""
        return self._trackers.setdefault(group, AgeTracker(self._clock))
