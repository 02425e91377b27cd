"""Rate limit for the log lines of routine work.

The number of lines about routine work grows with the load, so only a fixed
number of them is written per second. Refusals, losses and state changes are
always written.
"""

from typing import Any, Final, final

from loguru import logger

from mimosapond.boot_clock import Now

_RATE_LIMITED_EVENTS: Final = frozenset(('member_answered', 'work_passed_on'))
_WINDOW_S: Final = 1.0


@final
class LogRateLimit:
    """Filter for a log handler that counts the lines it suppresses.

    Parameters
    ----------
    lines_per_s
        Number of rate-limited lines that are written per second.
    """

    def __init__(self, lines_per_s: int, now: Now) -> None:
        """Start without any counted lines."""
        self._lines_per_s = lines_per_s
        self._now = now
        self._window_end_s: float = 0
        self._count = 0
        self._suppressed_count = 0

    def __call__(self, record: Any) -> bool:
        """Return whether to write a line, and count it if it is limited."""
        if record['message'] not in _RATE_LIMITED_EVENTS:
            return True
        now_s = self._now()
        if now_s >= self._window_end_s:
            self._window_end_s = now_s + _WINDOW_S
            self._count = 0
        self._count += 1
        is_admitted = self._count <= self._lines_per_s
        self._suppressed_count += not is_admitted
        return is_admitted

    def report(self) -> None:
        """Log how many lines were suppressed since the last report, if any."""
        if self._suppressed_count and self._now() >= self._window_end_s:
            logger.bind(count=self._suppressed_count).info('lines_left_out')
            self._suppressed_count = 0
