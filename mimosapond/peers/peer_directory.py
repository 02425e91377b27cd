"""The other hosts that this host knows."""

import itertools
import math
import random
from collections import defaultdict
from collections.abc import Iterable
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.peers.peer import Peer

# A peer that gave no answer is not asked again for this time.
_FAILED_PEER_PAUSE_S: Final = 1.0
# One log line for the failures of a peer that follow each other more closely.
_FAILURE_LOG_INTERVAL_S: Final = 5.0


@final
class PeerDirectory:
    """Peers by host name."""

    def __init__(self, own: Peer, now: Now) -> None:
        """Start without peers."""
        self._own = own
        self._now = now
        self._peers: dict[str, Peer] = {}
        self._failed_s: dict[str, float] = {}

    def update(self, peers: Iterable[Peer]) -> None:
        """Take over the hosts that announced themselves."""
        self._peers = {
            peer.host: peer for peer in peers if peer.host != self._own.host
        }

    def note_failure(self, peer: Peer) -> bool:
        """Note that a peer gave no answer; return whether that is news."""
        last_s = self._failed_s.get(peer.host, -math.inf)
        self._failed_s[peer.host] = self._now()
        return self._now() - last_s > _FAILURE_LOG_INTERVAL_S

    def choose(self, count: int) -> list[Peer]:
        """Return some peers, from as many data centres as possible.

        The peers of one data centre may all be cut off, together with this
        host or by themselves.
        """
        by_data_centre: dict[str, list[Peer]] = defaultdict(list)
        for peer in self._peers.values():
            last_s = self._failed_s.get(peer.host, -math.inf)
            if self._now() - last_s > _FAILED_PEER_PAUSE_S:
                by_data_centre[peer.data_centre].append(peer)
        for peers in by_data_centre.values():
            random.shuffle(peers)
        shuffled = random.sample(
            list(by_data_centre.values()), len(by_data_centre)
        )
        interleaved = itertools.chain.from_iterable(
            itertools.zip_longest(*shuffled),
        )
        return list(filter(None, interleaved))[:count]
