"""Holds back attempts at a leader that has just failed to answer.

Without it each waiting request would spend a retry on the same dead holder
during a failover, and a long failover would spend the whole retry budget. A
newer term ends the hold at once, so a longer one delays nothing.
"""

from typing import Final, final

from mimosapond.attempt_backoff import AttemptBackoff
from mimosapond.clock import Clock

FIRST_HOLD_S: Final = 0.2
LONGEST_HOLD_S: Final = 2


@final
class AttemptGate:
    """Remembers per group which term failed, and until when to wait."""

    def __init__(self, clock: Clock) -> None:
        """Start with all groups open."""
        self._clock = clock
        self._holds: dict[str, AttemptBackoff] = {}

    def hold(self, group: str, term: int) -> None:
        """Note a failed attempt at ``term``.

        Attempts that fail while a hold lasts began before it, and don't
        lengthen it.
        """
        now_s = self._clock.monotonic_s()
        known = self._holds.get(group)
        if known is None or known.term != term:
            delay_s = FIRST_HOLD_S
        elif now_s < known.until_s:
            return
        else:
            delay_s = min(2 * known.delay_s, LONGEST_HOLD_S)
        self._holds[group] = AttemptBackoff(term, now_s + delay_s, delay_s)

    def open(self, group: str) -> None:
        """Note a successful attempt."""
        self._holds.pop(group, None)

    def is_held(self, group: str, term: int) -> bool:
        """Tell whether an attempt at ``term`` should wait.

        When the time is over, one attempt passes and the others wait on.
        """
        known = self._holds.get(group)
        if known is None or known.term != term:
            return False
        if self._clock.monotonic_s() < known.until_s:
            return True
        self.hold(group, term)
        return False
