"""Updates the directory of groups from the registrations."""

import asyncio
from typing import Final, final

from mimosapond.dependency_monitor import DependencyMonitor
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.registration_source import (
    RegistrationSource,
    RegistrationsUnavailable,
)

# Short enough that a leaving member gets no new work after a few seconds.
_POLL_INTERVAL_S: Final = 1.5
# Interval while this host holds no group, and so sends members no work.
_RESTING_POLL_INTERVAL_S: Final = 5.0
_READ_TIMEOUT_S: Final = 1.0
_MIN_BACK_OFF_S: Final = 0.2
_MAX_BACK_OFF_S: Final = 0.8


@final
class RegistrationPoller:
    """Polls the registrations, with exponential back-off on failure."""

    def __init__(
        self, source: RegistrationSource, directory: GroupDirectory
    ) -> None:
        """Poll ``source`` for the members of ``directory``."""
        self._source = source
        self._directory = directory
        self._dependency = DependencyMonitor('registration_source')

    async def run(self) -> None:
        """Poll until cancelled."""
        back_off_s = _MIN_BACK_OFF_S
        while True:
            if await self.refresh(_READ_TIMEOUT_S):
                back_off_s = _MIN_BACK_OFF_S
                await asyncio.sleep(
                    _POLL_INTERVAL_S
                    if self._directory.holds_any
                    else _RESTING_POLL_INTERVAL_S
                )
                continue
            await asyncio.sleep(back_off_s)
            back_off_s = min(back_off_s * 2, _MAX_BACK_OFF_S)

    async def refresh(self, limit_s: float) -> bool:
        """Read the registrations once, within ``limit_s``.

        Returns
        -------
        bool
            Whether the registry answered. If not, the known members stay.
        """
        result = await self._source.read(limit_s)
        if isinstance(result, RegistrationsUnavailable):
            self._directory.record_registry_outage()
            self._dependency.report_status(
                is_connected=False, reason=result.reason
            )
            return False
        self._dependency.report_status(is_connected=True)
        self._directory.apply_registrations(result.records)
        return True
