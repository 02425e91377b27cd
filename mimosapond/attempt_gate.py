"""Back-off of attempts at a term holder that has just failed to answer.

Without it each waiting request would spend a retry on the same dead holder
during a failover, and a long failover would use up the whole retry budget. A
newer term ends the hold at once, so a long hold does not delay recovery.
"""

from typing import Final, final

from mimosapond.attempt_backoff import AttemptBackoff
from mimosapond.clock import Clock

INITIAL_HOLD_S: Final = 0.2
MAX_HOLD_S: Final = 2


@final
class AttemptGate:
    """Exponential back-off per group, at the term that failed last."""

    def __init__(self, clock: Clock) -> None:
        """Start without a hold on any group."""
        self._clock = clock
        self._holds: dict[str, AttemptBackoff] = {}

    def hold(self, group: str, term: int) -> None:
        """Record a failed attempt at ``term`` and start or extend its hold.

        Attempts that fail during a hold began before it and do not extend it.
        """
        now_s = self._clock.monotonic_s()
        known = self._holds.get(group)
        if known is None or known.term != term:
            delay_s = INITIAL_HOLD_S
        elif now_s < known.until_s:
            return
        else:
            delay_s = min(2 * known.delay_s, MAX_HOLD_S)
        self._holds[group] = AttemptBackoff(term, now_s + delay_s, delay_s)

    def open(self, group: str) -> None:
        """Record a successful attempt, which ends the hold."""
        self._holds.pop(group, None)

    def is_held(self, group: str, term: int) -> bool:
        """Tell whether an attempt at ``term`` has to wait.

        When a hold ends, one attempt passes and a new, longer hold begins for
        all others.
        """
        known = self._holds.get(group)
        if known is None or known.term != term:
            return False
        if self._clock.monotonic_s() < known.until_s:
            return True
        self.hold(group, term)
        return False
