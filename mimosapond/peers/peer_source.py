"""Interface to the store in which hosts announce themselves."""

from typing import Protocol, final

import attrs

from mimosapond.peers.peer import Peer


@final
@attrs.frozen
class Peers:
    """All hosts that recently announced themselves."""

    peers: tuple[Peer, ...]


@final
@attrs.frozen
class PeersUnavailable:
    """The announcements could not be read or written."""

    reason: str


class PeerSource(Protocol):
    """Stores the announcements of hosts."""

    async def announce(self, own: Peer) -> Peers | PeersUnavailable:
        """Announce this host and return all recently announced hosts."""
