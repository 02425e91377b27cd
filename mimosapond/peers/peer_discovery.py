"""Announces this host and keeps the peer directory up to date."""

import asyncio
from typing import Final, final

from mimosapond.dependency_monitor import DependencyMonitor
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_source import PeerSource, PeersUnavailable

# A new peer is useful only after it has been up for some time, so that it may
# be discovered with a delay.
ANNOUNCE_INTERVAL_S: Final = 15.0
_RETRY_DELAY_S: Final = 1.0


@final
class PeerDiscovery:
    """Periodically announces this host and reads the announced peers."""

    def __init__(
        self, own: Peer, source: PeerSource, directory: PeerDirectory
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
        """
        self._own = own
        self._source = source
        self._directory = directory
        self._dependency = DependencyMonitor('peer_source')

    async def run(self) -> None:
        """Announce and update until cancelled.

        While the source is unavailable, the last known peers stay listed.
        """
        while True:
            result = await self._source.announce(self._own)
            if isinstance(result, PeersUnavailable):
                self._dependency.report_status(
                    is_connected=False, reason=result.reason
                )
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            self._dependency.report_status(is_connected=True)
            self._directory.update(result.peers)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
