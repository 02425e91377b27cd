"""Updates the directory of groups from the registrations."""

import asyncio
from typing import Final, final

from mimosapond.dependency_monitor import DependencyMonitor
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.registration_sharing import (
    NotShared,
    RegistrationSharing,
)
from mimosapond.groups.registration_source import (
    RegistrationSource,
    RegistrationsUnavailable,
)

# Short enough that a leaving member gets no new work after a few seconds.
_POLL_INTERVAL_S: Final = 1.5
# Age of the last registrations after which a host reads them although another
# host hands on what it reads: somewhat more than the interval of that host.
_FOLLOWING_POLL_INTERVAL_S: Final = 2.1
# Interval while this host holds no group, and so sends members no work.
_RESTING_POLL_INTERVAL_S: Final = 5.0
# Interval at which it is checked whether this host holds a group now.
_INTERVAL_CHECK_S: Final = 0.25
_READ_TIMEOUT_S: Final = 1.0
_MIN_BACK_OFF_S: Final = 0.2
_MAX_BACK_OFF_S: Final = 0.8
_NOT_SHARED: Final = NotShared()


@final
class RegistrationPoller:
    """Polls the registrations, with exponential back-off on failure."""

    def __init__(
        self,
        source: RegistrationSource,
        directory: GroupDirectory,
        sharing: RegistrationSharing = _NOT_SHARED,
    ) -> None:
        """Poll ``source`` for the members of ``directory``.

        Parameters
        ----------
        sharing
            Tells whether hosts hand on what they read.
        """
        self._sharing = sharing
        self._source = source
        self._directory = directory
        self._dependency = DependencyMonitor('registration_source')

    async def run(self) -> None:
        """Poll until cancelled."""
        back_off_s = _MIN_BACK_OFF_S
        while True:
            if await self.refresh(_READ_TIMEOUT_S):
                back_off_s = _MIN_BACK_OFF_S
                await self._wait_for_next_poll()
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
        started_s = self._directory.now()
        result = await self._source.read(limit_s)
        if isinstance(result, RegistrationsUnavailable):
            self._directory.record_registry_outage()
            self._dependency.report_status(
                is_connected=False, reason=result.reason
            )
            return False
        self._dependency.report_status(is_connected=True)
        self._directory.apply_registrations(result.records, started_s)
        return True

    async def _wait_for_next_poll(self) -> None:
        """Wait until the registrations are due to be read by this host.

        The time counts from the last read, also of another host that handed
        it on. It ends early if a group is held now: a host that has just
        started holds none at its first poll.
        """
        await asyncio.sleep(_INTERVAL_CHECK_S)
        while self._directory.is_read_within(self._interval_s()):
            await asyncio.sleep(_INTERVAL_CHECK_S)

    def _interval_s(self) -> float:
        if self._sharing.is_following:
            return _FOLLOWING_POLL_INTERVAL_S
        if self._directory.holds_any or self._sharing.is_asked:
            return _POLL_INTERVAL_S
        return _RESTING_POLL_INTERVAL_S
