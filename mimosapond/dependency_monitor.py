"""Logs when something that a host depends on is lost and when it is back."""

from typing import final

from loguru import logger


@final
class DependencyMonitor:
    """One line for each loss and each return, named after the dependency."""

    def __init__(self, event: str) -> None:
        """Start as available, so that only a first failure is told."""
        self._event = event
        self._is_connected = True

    def report_status(self, *, is_connected: bool, reason: str = '') -> None:
        """Note how the last call ended."""
        if is_connected != self._is_connected:
            self._is_connected = is_connected
            logger.bind(is_connected=is_connected, reason=reason).warning(
                self._event,
            )
