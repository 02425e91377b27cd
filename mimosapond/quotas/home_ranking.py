"""Which host is the home of a workspace, as this host knows the others."""

from typing import Final, final

from mimosapond.peers.holder_ranking import rank_by_data_centre, sort_by_score
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory

# Hosts of each data centre that may have the bucket of a workspace: the first
# one, and the next if the first one is lost.
_CLAIMED_COUNT: Final = 2
# First hosts of the whole ranking, which are asked one after the other.
_TRIED_COUNT: Final = 3
# Hosts of a ranking that are kept, which bounds the memory.
_RANKED_COUNT: Final = 16
_KEY_PREFIX: Final = 'quota '


@final
class HomeRanking:
    """Ranks the announced hosts for each workspace by rendezvous hashing."""

    def __init__(self, peers: PeerDirectory, own: Peer) -> None:
        """Create a ranking of the announced hosts and this one."""
        self.own = own
        self._peers = peers
        self._revision = -1
        self._ranked: dict[str, list[Peer]] = {}

    @property
    def is_loaded(self) -> bool:
        """Whether the announcements have been read."""
        return self._peers.is_loaded

    @property
    def others(self) -> list[Peer]:
        """The other announced hosts."""
        return list(self._peers.peers)

    @property
    def data_centres(self) -> frozenset[str]:
        """Data centres that the announcements name, and that of this host."""
        named = {peer.data_centre for peer in self._peers.peers}
        return frozenset(named | {self.own.data_centre})

    def find(self, host: str) -> Peer | None:
        """Return the announced host of a name."""
        hosts = (*self._peers.peers, self.own)
        return next((peer for peer in hosts if peer.host == host), None)

    def rank(self, workspace: str) -> list[Peer]:
        """Return the announced hosts, the preferred home first."""
        if self._revision != self._peers.revision:
            self._revision = self._peers.revision
            self._ranked.clear()
        if workspace not in self._ranked:
            hosts = (*self._peers.peers, self.own)
            ranked = sort_by_score(_KEY_PREFIX + workspace, hosts)
            self._ranked[workspace] = ranked[:_RANKED_COUNT]
        return self._ranked[workspace]

    def claimed(self, workspace: str) -> list[Peer]:
        """Return the other hosts that may have the bucket of a workspace.

        Each part of a system whose data centres are cut off from each other
        has its home among them.
        """
        hosts = (*self._peers.peers, self.own)
        by_data_centre = rank_by_data_centre(_KEY_PREFIX + workspace, hosts)
        claimed = {
            peer.host: peer for peer in self.rank(workspace)[:_TRIED_COUNT]
        }
        for ranked in by_data_centre.values():
            claimed |= {peer.host: peer for peer in ranked[:_CLAIMED_COUNT]}
        claimed.pop(self.own.host, None)
        return list(claimed.values())

    def is_available(self, peer: Peer) -> bool:
        """Return whether a peer has not just failed to answer."""
        return self._peers.is_available(peer)
