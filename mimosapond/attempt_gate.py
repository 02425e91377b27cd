"""Holds back attempts at a leader that has just failed to answer.

Without it each waiting request would spend a retry on the same dead holder
during a failover.
"""

from typing import Final, final

from mimosapond.clock import Clock

HOLD_S: Final = 0.2


@final
class AttemptGate:
    """Remembers per group which term failed, and until when to wait."""

    def __init__(self, clock: Clock) -> None:
        """Start with all groups open."""
        self._clock = clock
        self._held: dict[str, tuple[int, float]] = {}

    def hold(self, group: str, term: int) -> None:
        """Note a failed attempt at ``term``."""
        until_s = self._clock.monotonic_s() + HOLD_S
        self._held[group] = (term, until_s)

    def open(self, group: str) -> None:
        """Note a successful attempt."""
        self._held.pop(group, None)

    def is_held(self, group: str, term: int) -> bool:
        """Tell whether an attempt at ``term`` should wait.

        When the time is over, one attempt passes and the others wait on.
        """
        held = self._held.get(group)
        if held is None or held[0] != term:
            return False
        if self._clock.monotonic_s() < held[1]:
            return True
        self.hold(group, term)
        return False
