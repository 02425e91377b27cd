"""Reports degraded paths to logs and metrics.

A fallback that works without any signal can hide an outage for days.
"""

from typing import final

from loguru import logger

from mimosapond.degraded_path import DegradedPath
from mimosapond.metrics import Metrics


@final
class DegradedPaths:
    """The paths that are degraded now, by subject, such as a group."""

    def __init__(self, metrics: Metrics) -> None:
        """Start without degraded paths."""
        self._metrics = metrics
        self._problems: dict[tuple[DegradedPath, str], str] = {}

    def enter(self, path: DegradedPath, subject: str, problem: str) -> None:
        """Report ``path`` as degraded for ``subject``.

        Repeated reports of the same outage have no effect.
        """
        if (path, subject) in self._problems:
            return
        self._problems[path, subject] = problem
        self._publish(path)
        logger.bind(path=path, subject=subject, problem=problem).warning(
            'degraded_path_entered',
        )

    def clear(self, path: DegradedPath, subject: str) -> None:
        """Report ``path`` as healthy for ``subject``."""
        if self._problems.pop((path, subject), None) is None:
            return
        self._publish(path)
        logger.bind(path=path, subject=subject).info('degraded_path_cleared')

    def snapshot(self) -> dict[str, str]:
        """Return the problem of each degraded path, by ``path/subject``."""
        return {
            f'{path}/{subject}': problem
            for (path, subject), problem in self._problems.items()
        }

    def _publish(self, path: DegradedPath) -> None:
        subject_count = sum(1 for known, _ in self._problems if known is path)
        self._metrics.gauge(f'degraded.{path}', subject_count)
