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
_PERIOD_S: Final = 1.5
_READ_LIMIT_S: Final = 1.0
_RETRY_S: Final = 0.2
_RETRY_MAX_S: Final = 0.8


@final
class RegistrationFollower:
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
        retry_s = _RETRY_S
        while True:
            if await self.refresh(_READ_LIMIT_S):
                retry_s = _RETRY_S
                await asyncio.sleep(_PERIOD_S)
                continue
            await asyncio.sleep(retry_s)
            retry_s = min(retry_s * 2, _RETRY_MAX_S)

    async def refresh(self, limit_s: float) -> bool:
        """Read the registrations once; return whether they were readable."""
        found = await self._source.read(limit_s)
        if isinstance(found, RegistrationsUnavailable):
            self._directory.note_outage()
            self._dependency.report_status(
                is_connected=False, reason=found.reason
            )
            return False
        self._dependency.report_status(is_connected=True)
        self._directory.apply_registrations(found.records)
        return True
