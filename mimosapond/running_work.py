"""The work that occupies the slots of one member."""

from typing import Final, final

from mimosapond.waiting_work import WaitingWork

_US_PER_S: Final = 1_000_000


@final
class RunningWork:
    """At most as many entries as the member has slots."""

    def __init__(self) -> None:
        """Start with all slots free."""
        self._works: set[WaitingWork] = set()

    def add(self, work: WaitingWork) -> None:
        """Add work that was given a slot."""
        self._works.add(work)

    def discard(self, work: WaitingWork) -> None:
        """Remove work that gave its slot back."""
        self._works.discard(work)

    def remaining_us(self, now_s: float, *, is_long: bool) -> float:
        """Return the expected slot time left of long or of short work."""
        return sum(
            max(0, work.cost_us - (now_s - work.started_s) * _US_PER_S)
            for work in self._works
            if work.is_long is is_long
        )
