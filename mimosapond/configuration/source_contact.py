"""When the source of configurations was last in contact with this host."""

import math
from typing import final

from mimosapond.boot_clock import Now


@final
class SourceContact:
    """Records the answers of the source and the calls without one."""

    def __init__(self, now: Now) -> None:
        """Start without contact; ``now`` is the clock of all times."""
        self._now = now
        self._answered_s = -math.inf
        self._is_failing = False

    def record_answer(self) -> None:
        """Record that the source answered just now."""
        self._answered_s = self._now()
        self._is_failing = False

    def record_failure(self) -> None:
        """Record that a call got no usable answer."""
        self._is_failing = True

    def is_silent(self, limit_s: float) -> bool:
        """Return whether the last call failed or the last answer is old.

        A long poll whose answer is lost fails only at its timeout, so a source
        that did not answer within ``limit_s`` may have had changes.
        """
        return self._is_failing or self._now() - self._answered_s > limit_s
