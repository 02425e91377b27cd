"""Keeps the directory of groups up with the registrations."""

import asyncio
from typing import Final, final

from mimosapond.dependency_monitor import DependencyMonitor
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.registration_source import (
    RegistrationSource,
    RegistrationsUnavailable,
)

# A member that leaves is to get no work a few seconds later.
_POLL_INTERVAL_S: Final = 1.5
_READ_TIMEOUT_S: Final = 1.0
_MIN_BACK_OFF_S: Final = 0.2
_MAX_BACK_OFF_S: Final = 0.8


@final
class RegistrationPoller:
    """Reads the registrations at intervals."""

    def __init__(
        self, source: RegistrationSource, directory: GroupDirectory
    ) -> None:
        """Take the source and the directory to keep up."""
        self._source = source
        self._directory = directory
        self._dependency = DependencyMonitor('registration_source')

    async def run(self) -> None:
        """Follow until cancelled."""
        back_off_s = _MIN_BACK_OFF_S
        while True:
            if await self.refresh(_READ_TIMEOUT_S):
                back_off_s = _MIN_BACK_OFF_S
                await asyncio.sleep(_POLL_INTERVAL_S)
                continue
            await asyncio.sleep(back_off_s)
            back_off_s = min(back_off_s * 2, _MAX_BACK_OFF_S)

    async def refresh(self, limit_s: float) -> bool:
        """Read the registrations once; return whether they were readable."""
        found = await self._source.read(limit_s)
        if isinstance(found, RegistrationsUnavailable):
            self._directory.record_registry_outage()
            self._dependency.report_status(
                is_connected=False, reason=found.reason
            )
            return False
        self._dependency.report_status(is_connected=True)
        self._directory.apply_registrations(found.records)
        return True
