"""Announces this host and keeps the directory of peers up."""

import asyncio
from typing import Final, final

from mimosapond.dependency_monitor import DependencyMonitor
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_source import PeerSource, PeersUnavailable

# Peers are of use only if they have been up for some time, so a new one may
# be learned late.
ANNOUNCE_INTERVAL_S: Final = 15.0
_RETRY_DELAY_S: Final = 1.0


@final
class PeerDiscovery:
    """Announces and reads at intervals."""

    def __init__(
        self, own: Peer, source: PeerSource, directory: PeerDirectory
    ) -> None:
        """Take where to announce and what to keep up."""
        self._own = own
        self._source = source
        self._directory = directory
        self._dependency = DependencyMonitor('peer_source')

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            found = await self._source.announce(self._own)
            if isinstance(found, PeersUnavailable):
                self._dependency.report_status(
                    is_connected=False, reason=found.reason
                )
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            self._dependency.report_status(is_connected=True)
            self._directory.update(found.peers)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
