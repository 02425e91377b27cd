"""Which data centres this host hears from."""

from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.peers.peer import Peer
from mimosapond.quotas.home_ranking import HomeRanking

# Silence after which a data centre counts as cut off. During this time a home
# that is cut off grants the part of the others as well, so it is a part of
# the tolerated excess.
_SILENCE_LIMIT_S: Final = 0.6
# Silence after which hosts of a data centre are greeted.
_GREETING_AGE_S: Final = 0.25


@final
class ContactTracker:
    """Records when a host of each data centre was last heard from."""

    def __init__(self, ranking: HomeRanking, now: Now) -> None:
        """Start without any contact."""
        self._ranking = ranking
        self._now = now
        self._heard_s: dict[str, float] = {}

    def record(self, host: str) -> None:
        """Record a message of an announced host."""
        peer = self._ranking.find(host)
        if peer is not None:
            self.record_peer(peer)

    def record_peer(self, peer: Peer) -> None:
        """Record an answer of a host."""
        self._heard_s[peer.data_centre] = self._now()

    def share_ratio(self) -> float:
        """Return the share of the data centres that this host hears from."""
        named = self._ranking.data_centres
        silent = self._silent_for(_SILENCE_LIMIT_S)
        return (len(named) - len(silent)) / len(named)

    def to_greet(self) -> frozenset[str]:
        """Return the data centres that were silent for a moment."""
        return self._silent_for(_GREETING_AGE_S)

    def _silent_for(self, limit_s: float) -> frozenset[str]:
        own = self._ranking.own.data_centre
        earliest_s = self._now() - limit_s
        return frozenset(
            name
            for name in self._ranking.data_centres
            if name != own and self._heard_s.get(name, -1) < earliest_s
        )
