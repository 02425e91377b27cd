"""Where hosts announce themselves and find each other."""

from typing import Protocol, final

import attrs

from mimosapond.peers.peer import Peer


@final
@attrs.frozen
class Peers:
    """All hosts that announced themselves lately."""

    peers: tuple[Peer, ...]


@final
@attrs.frozen
class PeersUnavailable:
    """The announcements could not be read or written."""

    reason: str


class PeerSource(Protocol):
    """Keeps the announcements."""

    async def announce(self, own: Peer) -> Peers | PeersUnavailable:
        """Announce this host and return all that did so lately."""
