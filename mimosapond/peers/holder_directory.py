"""Which hosts hold which groups, as this host knows the others."""

from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.peers.holder_ranking import (
    holders_per_data_centre,
    prefer_by_host,
    rank_by_data_centre,
)
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory

# Up to this number of hosts, each holds every group: the members accept
# connections of all of them, and passing work on would only cost time.
_MAX_SMALL_SYSTEM_COUNT: Final = 24
# Hosts that work may be passed on to, in order of preference.
_CANDIDATE_COUNT: Final = 4
# Time for which a host holds a group after other hosts asked it to, because
# those before it in the ranking did not answer.
_ASKED_RETENTION_S: Final = 10.0
# Time without any reachable holder after which a host holds a group itself.
_ISOLATION_TIMEOUT_S: Final = 3.0


@final
class HolderDirectory:
    """Ranks the hosts for each group; implements ``Holding``."""

    def __init__(self, peers: PeerDirectory, own: Peer, now: Now) -> None:
        """Create a directory.

        Parameters
        ----------
        peers
            The other hosts and which of them fail to answer.
        """
        self._peers = peers
        self._own = own
        self._now = now
        self._revision = -1
        self._rankings: dict[str, dict[str, list[Peer]]] = {}
        self._asked_s: dict[str, float] = {}
        self._isolated_since_s: dict[str, float] = {}

    def holds(self, group: str) -> bool:
        """Return whether this host holds a group now."""
        if not self._peers.is_loaded:
            return False
        return (
            self._is_small_system
            or self._own in self._ranked_holders(group)
            or self._was_asked(group)
            or self._is_isolated(group)
        )

    def holder_count(self, group: str) -> int | None:
        """Return how many hosts hold a group; None if all hosts do."""
        if self._is_small_system:
            return None
        return max(len(self._ranked_holders(group)), 1)

    def is_reachable(self, group: str) -> bool:
        """Return whether this host holds a group or reaches one that does."""
        return self.holds(group) or bool(self.candidates(group))

    def record_request(self, group: str) -> bool:
        """Record that another host passed on work for a group."""
        is_new = not self.holds(group)
        self._asked_s[group] = self._now()
        return is_new

    def candidates(self, group: str) -> list[Peer]:
        """Return the hosts to pass work on to, the preferred ones first.

        Hosts of the same data centre come first. A host that did not answer is
        followed by the next one in the ranking, which holds the group as soon
        as it is asked.
        """
        ranking = self._ranking(group)
        count = holders_per_data_centre(ranking)
        near = self._available(ranking.get(self._own.data_centre, []))
        far = [
            peer
            for data_centre, ranked in ranking.items()
            if data_centre != self._own.data_centre
            for peer in self._available(ranked)[:count]
        ]
        found = [
            *prefer_by_host(self._own.host, near[:count]),
            *prefer_by_host(self._own.host, far),
        ][:_CANDIDATE_COUNT]
        self._record_candidates(group, found)
        return found

    def other_holders(self, group: str) -> list[Peer]:
        """Return other hosts that may reach the primary of a group."""
        if self._is_small_system or not self._peers.is_loaded:
            return self._peers.choose(_CANDIDATE_COUNT)
        holders = self._available(self._ranked_holders(group))
        return holders or self._peers.choose(_CANDIDATE_COUNT)

    @property
    def _is_small_system(self) -> bool:
        return self._peers.count + 1 <= _MAX_SMALL_SYSTEM_COUNT

    def _ranking(self, group: str) -> dict[str, list[Peer]]:
        if self._revision != self._peers.revision:
            self._revision = self._peers.revision
            self._rankings.clear()
        if group not in self._rankings:
            hosts = (*self._peers.peers, self._own)
            self._rankings[group] = rank_by_data_centre(group, hosts)
        return self._rankings[group]

    def _ranked_holders(self, group: str) -> list[Peer]:
        ranking = self._ranking(group)
        count = holders_per_data_centre(ranking)
        return [peer for ranked in ranking.values() for peer in ranked[:count]]

    def _available(self, peers: list[Peer]) -> list[Peer]:
        return [
            peer
            for peer in peers
            if peer.host != self._own.host and self._peers.is_available(peer)
        ]

    def _was_asked(self, group: str) -> bool:
        asked_s = self._asked_s.get(group)
        return asked_s is not None and (
            self._now() - asked_s < _ASKED_RETENTION_S
        )

    def _is_isolated(self, group: str) -> bool:
        since_s = self._isolated_since_s.get(group)
        return since_s is not None and (
            self._now() - since_s > _ISOLATION_TIMEOUT_S
        )

    def _record_candidates(self, group: str, found: list[Peer]) -> None:
        if found:
            self._isolated_since_s.pop(group, None)
        else:
            self._isolated_since_s.setdefault(group, self._now())
