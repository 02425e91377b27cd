"""One age tracker for each group of which this host owns a member."""

from typing import final

from mimosapond.age_tracker import AgeTracker
from mimosapond.clock import Clock


@final
class AgeTrackers:
    """Shared by the keepers, which note beacons, and the member reader."""

    def __init__(self, clock: Clock) -> None:
        """Start without trackers."""
        self._clock = clock
        self._trackers: dict[str, AgeTracker] = {}

    def tracker(self, group: str) -> AgeTracker:
        """Return the tracker of ``group``, created when there is none."""
        return self._trackers.setdefault(group, AgeTracker(self._clock))
