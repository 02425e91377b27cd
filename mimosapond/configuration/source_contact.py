"""When the source of configurations was last in contact with this host."""

import asyncio
import math
from collections.abc import Callable
from typing import Final, final

from mimosapond.boot_clock import Now

# An answer that has more than this is a configuration with many routes. On a
# link of 5 Mbit/s, it has been arriving for a tenth of a second, and goes on to.
_LONG_ANSWER_BYTES: Final = 64 * 1024


@final
class SourceContact:
    """Records the answers of the source, and whether it is to be read."""

    def __init__(self, now: Now) -> None:
        """Start without contact; ``now`` is the clock of all times."""
        self._now = now
        self._called_s = now()
        self._answered_s = -math.inf
        self._current_s = -math.inf
        self._is_failing = False
        self._is_transferring = False
        # Times of the first and the last call since the last usable answer.
        self._failing_since_s = math.inf
        self._failed_s = -math.inf
        # Set to have the source read now, also while another host hands on new
        # versions.
        self.read_requested = asyncio.Event()
        # Called when the version of this host may no longer be the newest.
        self.on_outdated: Callable[[], None] = _do_nothing
        # Whether another host hands on new versions in time, so that this host
        # need not follow the source.
        self.is_covered: Callable[[], bool] = _is_never_covered

    @property
    def current_s(self) -> float:
        """Time up to which the version of this host is known to be current.

        The answer of a long poll may be delayed, so this is the time of the
        call. It is minus infinity while the source does not answer, and while
        it sends a long answer, which probably has a newer version.
        """
        is_current = not (self._is_failing or self._is_transferring)
        return self._current_s if is_current else -math.inf

    @property
    def is_transferring(self) -> bool:
        """Whether the source is sending this host a long answer."""
        return self._is_transferring

    def is_failing_for(self, limit_s: float) -> bool:
        """Return whether calls have failed for at least ``limit_s``.

        A single failure tells nothing about the time after it, in which a host
        that another one covers makes no calls.
        """
        return self._failed_s - self._failing_since_s >= limit_s

    def record_call(self) -> None:
        """Record that the source is called now."""
        self._called_s = self._now()

    def record_answer(self) -> None:
        """Record that the source answered just now."""
        self._answered_s = self._now()
        self._current_s = self._called_s
        self._is_failing = False
        self._is_transferring = False
        self._failing_since_s = math.inf

    def record_progress(self, byte_count: int) -> None:
        """Record how many bytes of an answer have arrived so far."""
        if self._is_transferring or byte_count <= _LONG_ANSWER_BYTES:
            return
        self._is_transferring = True
        self.on_outdated()

    def record_failure(self) -> None:
        """Record that a call got no usable answer."""
        self._is_transferring = False
        self._failed_s = self._now()
        if self._is_failing:
            return
        self._is_failing = True
        self._failing_since_s = self._failed_s
        self.on_outdated()

    def is_silent(self, limit_s: float) -> bool:
        """Return whether the last call failed or the last answer is old.

        A long poll whose answer is lost fails only at its timeout, so a source
        that did not answer within ``limit_s`` may have had changes.
        """
        if self.is_covered():
            return False
        return self._is_failing or self._now() - self._answered_s > limit_s


def _do_nothing() -> None:
    """Do nothing."""


def _is_never_covered() -> bool:
    """Return False: each host follows the source itself."""
    return False
