"""Announces this host and keeps the peer directory up to date."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

from mimosapond.dependency_monitor import DependencyMonitor
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_source import PeerSource, PeersUnavailable

# A new peer is useful only after it has been up for some time, so that it may
# be discovered with a delay.
ANNOUNCE_INTERVAL_S: Final = 15.0
_RETRY_DELAY_S: Final = 1.0
# When the whole system starts, hosts announce themselves one after another, so
# that the store is not overrun, and then read again what the others announced.
_FIRST_START_SPREAD_S: Final = 1.0
_FIRST_START_DELAYS_S: Final = (1.5, 3.0, 6.0)


@final
class PeerDiscovery:
    """Periodically announces this host and reads the announced peers."""

    def __init__(
        self,
        own: Peer,
        source: PeerSource,
        directory: PeerDirectory,
        on_update: Callable[[], None],
        *,
        is_first_start: bool,
    ) -> None:
        """Create the discovery.

        Parameters
        ----------
        own
            Announcement of this host.
        source
            Stores the announcements.
        directory
            Is updated with the announced hosts.
        on_update
            Called after each update of the directory.
        is_first_start
            Whether all hosts of the system start for the first time. The first
            announcements that are read are incomplete then, and not used.
        """
        self._own = own
        self._source = source
        self._directory = directory
        self._on_update = on_update
        self._is_first_start = is_first_start
        self._dependency = DependencyMonitor('peer_source')

    async def run(self) -> None:
        """Announce and update until cancelled.

        While the source is unavailable, the last known peers stay listed.
        """
        if self._is_first_start:
            await self._start_system()
        while True:
            is_answered = await self._announce()
            await asyncio.sleep(
                ANNOUNCE_INTERVAL_S if is_answered else _RETRY_DELAY_S
            )

    async def _start_system(self) -> None:
        await asyncio.sleep(random.random() * _FIRST_START_SPREAD_S)
        while isinstance(
            await self._source.announce(self._own), PeersUnavailable
        ):
            await asyncio.sleep(_RETRY_DELAY_S)
        for delay_s in _FIRST_START_DELAYS_S:
            await asyncio.sleep(delay_s)
            await self._announce()

    async def _announce(self) -> bool:
        result = await self._source.announce(self._own)
        if isinstance(result, PeersUnavailable):
            self._dependency.report_status(
                is_connected=False, reason=result.reason
            )
            return False
        self._dependency.report_status(is_connected=True)
        self._directory.update(result.peers)
        self._on_update()
        return True
