"""Keeps the configuration in force at the newest version."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final, final

from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.configuration import Configuration
from mimosapond.configuration.configuration_source import (
    ConfigurationSource,
    SourceGap,
    SourceState,
    SourceUnavailable,
)
from mimosapond.configuration.source_contact import SourceContact
from mimosapond.dependency_monitor import DependencyMonitor

# Share of the time in which a new configuration must be in force, after which a
# feed that does not answer is noticed. The rest is for reading the whole state.
_FEED_TIMEOUT_RATIO: Final = 0.5
_MIN_RETRY_DELAY_S: Final = 0.15
_MAX_RETRY_DELAY_S: Final = 0.6
_COVER_CHECK_INTERVAL_S: Final = 0.25


@final
class ConfigurationFollower:
    """Reads the whole state once, then follows the change feed.

    After an outage or a gap in the feed, the whole state is read again.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        active: ActiveConfiguration,
        on_change: Callable[[Configuration], None],
        apply_s: float,
        contact: SourceContact,
    ) -> None:
        """Create a follower that has not read anything yet.

        Parameters
        ----------
        on_change
            Called with each configuration that has come into force.
        apply_s
            Time within which a new configuration must be in force.
        contact
            Is told whether the source answers.
        """
        self._contact = contact
        self._feed_timeout_s = apply_s * _FEED_TIMEOUT_RATIO
        self._source = source
        self._active = active
        self._on_change = on_change
        self._cursor: int | None = None
        self._retry_delay_s = _MIN_RETRY_DELAY_S
        self._dependency = DependencyMonitor('configuration_source')

    async def run(self) -> None:
        """Follow the source until the task is cancelled.

        While another host hands on new versions, the source is read on request
        only, and again until it answers or the host has a newer version.
        """
        is_requested = self._contact.read_requested
        while True:
            if self._active.is_loaded and self._contact.is_covered():
                self._cursor = None
                await _wait_for(is_requested, _COVER_CHECK_INTERVAL_S)
                if is_requested.is_set():
                    await self._poll_on_request()
            else:
                is_requested.clear()
                await self._poll()

    async def _poll_on_request(self) -> None:
        """Call the source, and ask for another call if it does not answer."""
        self._contact.read_requested.clear()
        version = self._active.version
        is_answered = await self._poll()
        if not is_answered and self._active.version == version:
            self._contact.read_requested.set()

    async def _poll(self) -> bool:
        """Call the source once; return whether it told its state."""
        self._contact.record_call()
        on_progress = self._contact.record_progress
        if self._cursor is None:
            answer = await self._source.read(on_progress)
        else:
            answer = await self._source.follow(
                self._cursor, self._feed_timeout_s, on_progress
            )
        match answer:
            case SourceState(configuration=configuration, cursor=cursor):
                self._contact.record_answer()
                self._dependency.report_status(is_connected=True)
                self._retry_delay_s = _MIN_RETRY_DELAY_S
                self._cursor = cursor
                if configuration is not None:
                    self._apply(configuration)
            case SourceGap():
                self._cursor = None
            case SourceUnavailable(reason=reason):
                self._contact.record_failure()
                self._dependency.report_status(
                    is_connected=False, reason=reason
                )
                self._cursor = None
                await asyncio.sleep(self._retry_delay_s)
                self._retry_delay_s = min(
                    self._retry_delay_s * 2, _MAX_RETRY_DELAY_S
                )
        return isinstance(answer, SourceState)

    def _apply(self, configuration: Configuration) -> None:
        if self._active.activate(configuration):
            self._on_change(configuration)


async def _wait_for(event: asyncio.Event, limit_s: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await event.wait()
