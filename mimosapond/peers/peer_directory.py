"""Known peers, and which of them recently failed to answer."""

import itertools
import math
import random
from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.peers.peer import Peer

# Time for which a peer that gave no answer is not chosen again; it doubles
# with each further failure.
_FAILED_PEER_PAUSE_S: Final = 1.0
_MAX_FAILED_PEER_PAUSE_S: Final = 8.0
# Failures of a peer are logged again only after an interval without any.
_FAILURE_LOG_INTERVAL_S: Final = 5.0


@final
class PeerDirectory:
    """The other hosts that announced themselves."""

    def __init__(self, own: Peer, now: Now) -> None:
        """Create an empty directory; ``own`` is never listed."""
        self._own = own
        self._now = now
        self._peers: dict[str, Peer] = {}
        # Whether the announcements have been read, and how often they changed.
        self.is_loaded = False
        self.revision = 0
        self._failed_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}
        self._pause_s: dict[str, float] = {}

    def update(self, peers: Iterable[Peer]) -> None:
        """Replace the peers with the announced hosts, except this one."""
        announced = {
            peer.host: peer for peer in peers if peer.host != self._own.host
        }
        if announced != self._peers:
            self._peers = announced
            self.revision += 1
        self.is_loaded = True

    @property
    def own_host(self) -> str:
        """Name of this host."""
        return self._own.host

    @property
    def peers(self) -> Collection[Peer]:
        """The announced hosts."""
        return self._peers.values()

    @property
    def count(self) -> int:
        """Number of announced hosts."""
        return len(self._peers)

    def record_failure(self, peer: Peer) -> bool:
        """Record that a peer gave no answer.

        Returns
        -------
        bool
            Whether to log the failure, because the peer had none for some
            seconds.
        """
        now_s = self._now()
        last_s = self._failed_s.get(peer.host, -math.inf)
        self._failed_s[peer.host] = now_s
        if self.is_available(peer):
            pause_s = self._pause_s.get(peer.host, _FAILED_PEER_PAUSE_S)
            self._paused_until_s[peer.host] = now_s + pause_s
            self._pause_s[peer.host] = min(
                pause_s * 2, _MAX_FAILED_PEER_PAUSE_S
            )
        return now_s - last_s > _FAILURE_LOG_INTERVAL_S

    def record_answer(self, peer: Peer) -> None:
        """Record that a peer answered, so that it is chosen again at once."""
        self._pause_s.pop(peer.host, None)
        self._paused_until_s.pop(peer.host, None)

    def has_failed(self, peer: Peer) -> bool:
        """Return whether a peer has failed since its last answer."""
        return peer.host in self._pause_s

    def is_available(self, peer: Peer) -> bool:
        """Return whether a peer may be chosen now."""
        return self._now() >= self._paused_until_s.get(peer.host, -math.inf)

    def choose(self, count: int) -> list[Peer]:
        """Return random peers, spread over as many data centres as possible.

        A network partition may cut off all peers of a data centre, together
        with this host or without it.

        Parameters
        ----------
        count
            Maximum number of peers.

        Returns
        -------
        list[Peer]
            Without the peers that recently gave no answer.
        """
        by_data_centre: dict[str, list[Peer]] = defaultdict(list)
        for peer in self._peers.values():
            if self.is_available(peer):
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
