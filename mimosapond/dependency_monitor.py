"""Logs when a dependency of a host becomes unavailable or available again."""

from typing import final

from loguru import logger


@final
class DependencyMonitor:
    """Writes one log line for each change of availability.

    Parameters
    ----------
    event
        Event of the log lines, which names the dependency.
    """

    def __init__(self, event: str) -> None:
        """Start as available, so that an initial success is not logged."""
        self._event = event
        self._is_connected = True

    def report_status(self, *, is_connected: bool, reason: str = '') -> None:
        """Record whether the last call succeeded.

        Parameters
        ----------
        reason
            Cause of a failure, for the log line.
        """
        if is_connected != self._is_connected:
            self._is_connected = is_connected
            logger.bind(is_connected=is_connected, reason=reason).warning(
                self._event,
            )
