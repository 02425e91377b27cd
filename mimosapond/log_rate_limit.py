"""Bounds the log lines of ordinary work.

Refusals, losses and changes of state are always written. The lines of ordinary
work grow with the load, so each second has room for a fixed number of them.
"""

from typing import Any, Final, final

from loguru import logger

from mimosapond.boot_clock import Now

_RATE_LIMITED_EVENTS: Final = frozenset(('member_answered', 'work_passed_on'))
_WINDOW_S: Final = 1.0


@final
class LogRateLimit:
    """Filter of a log handler that counts what it leaves out."""

    def __init__(self, lines_per_s: int, now: Now) -> None:
        """Start a window without lines."""
        self._lines_per_s = lines_per_s
        self._now = now
        self._window_end_s: float = 0
        self._count = 0
        self._suppressed_count = 0

    def __call__(self, record: Any) -> bool:
        """Return whether to write a line."""
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
        """Say how many lines were left out since the last report."""
        if self._suppressed_count and self._now() >= self._window_end_s:
            logger.bind(count=self._suppressed_count).info('lines_left_out')
            self._suppressed_count = 0
