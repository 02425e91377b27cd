"""Work that occupies the slots of one member."""

from typing import Final, final

from mimosapond.scheduled_work import ScheduledWork

_US_PER_S: Final = 1_000_000


@final
class RunningWork:
    """Set of running work, with at most one entry per slot of the member."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._works: set[ScheduledWork] = set()

    def add(self, work: ScheduledWork) -> None:
        """Add work that got a slot."""
        self._works.add(work)

    def discard(self, work: ScheduledWork) -> None:
        """Remove work whose slot was freed."""
        self._works.discard(work)

    def remaining_us(self, now_s: float, *, is_long: bool) -> float:
        """Return the expected remaining slot time of running work.

        Parameters
        ----------
        is_long
            Whether to add up the long work or the short work.
        """
        return sum(
            max(0, work.cost_us - (now_s - work.started_s) * _US_PER_S)
            for work in self._works
            if work.is_long is is_long
        )
