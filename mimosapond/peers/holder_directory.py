"""Which hosts hold which groups, as this host knows the others."""

import itertools
from collections.abc import Iterable, Iterator
from typing import Final, final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.groups.connection_share import (
    ConnectionShare,
    HolderShare,
    RequestedShare,
    StandInShare,
)
from mimosapond.peers.holder_ranking import (
    holders_per_data_centre,
    prefer_by_host,
    rank_by_data_centre,
)
from mimosapond.peers.isolation import Isolation
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.workspace_ranking import rank_for_workspace

# Up to this number of hosts, each holds every group: the members accept
# connections of all of them, and passing work on would only cost time.
_MAX_SMALL_SYSTEM_COUNT: Final = 24
# Hosts that work may be passed on to, in order of preference.
_CANDIDATE_COUNT: Final = 4
# Hosts that follow the holders of a data centre and hold the group if these are
# lost, for each holder. Work is passed on to no others, so that the connections
# of all of them stay under the limit of the members.
_STAND_IN_RATIO: Final = 2
# Time for which a host holds a group after other hosts asked it to, because
# those before it in the ranking did not answer.
_ASKED_RETENTION_S: Final = 10.0
# Orders of holders by workspace that are kept until hosts come or go.
_MAX_ORDER_COUNT: Final = 4096


@final
@attrs.frozen
class _Ranking:
    """The hosts of one group, as one host sees them.

    Parameters
    ----------
    holders
        Hosts that hold the group, in all data centres.
    stand_ins
        Hosts that follow the holders, in all data centres.
    near
        Those of the own data centre except this host, in the order in which
        work is passed on to them; the first hold the group.
    near_count
        How many hosts of a data centre hold the group.
    far
        The same of other data centres.
    """

    holders: tuple[Peer, ...]
    stand_ins: tuple[Peer, ...]
    near: tuple[Peer, ...]
    near_count: int
    far: tuple[Peer, ...]


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
        self._rankings: dict[str, _Ranking] = {}
        self._asked_s: dict[str, float] = {}
        self._isolation = Isolation(peers, now)
        self._orders: dict[tuple[str, str, float], list[Peer]] = {}

    def holds(self, group: str) -> bool:
        """Return whether this host holds a group now."""
        if not self._peers.is_loaded:
            return False
        return (
            self._is_small_system
            or self._own in self._ranking(group).holders
            or self._was_asked(group)
            or self._is_isolated(group)
        )

    def holder_count(self, group: str) -> int | None:
        """Return how many hosts hold a group; None if all hosts do."""
        if self._is_small_system:
            return None
        return max(len(self._ranking(group).holders), 1)

    def share(self, group: str) -> ConnectionShare:
        """Return this host's part in the connections to a group's members."""
        if self._is_small_system:
            return None
        ranking = self._ranking(group)
        if self._own in ranking.holders:
            return HolderShare(len(ranking.holders))
        if self._own in ranking.stand_ins:
            return StandInShare(
                len(ranking.holders),
                ranking.stand_ins.index(self._own),
                len(ranking.stand_ins),
            )
        return RequestedShare()

    def is_reachable(self, group: str) -> bool:
        """Return whether this host holds a group or reaches one that does."""
        if self.holds(group):
            return True
        ranking = self._ranking(group)
        if any(map(self._peers.is_available, ranking.near)):
            return True
        return bool(self.candidates(group))

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
        near = itertools.islice(
            self._available(ranking.near), ranking.near_count
        )
        ordered = itertools.chain(near, self._available(ranking.far))
        found = list(itertools.islice(ordered, _CANDIDATE_COUNT))
        self._isolation.record(group, found)
        return found

    def workspace_candidates(
        self, group: str, workspace: str, quota_ratio: float
    ) -> list[Peer] | None:
        """Return the hosts to pass work of a workspace on to.

        Parameters
        ----------
        quota_ratio
            Quota of the workspace in relation to the sum of all quotas.

        Returns
        -------
        list[Peer] | None
            The preferred ones first; None if this host is to run the work.
        """
        if self._is_small_system:
            return None if self.holds(group) else []
        if self._is_isolated(group):
            return self.trial_candidates(group) or None
        ranking = self._ranking(group)
        others = (
            peer
            for peer in (*ranking.near, *ranking.far)
            if peer not in ranking.holders
        )
        ordered = itertools.chain(
            self._order(group, workspace, quota_ratio), others
        )
        found = list(
            itertools.islice(self._available(ordered), _CANDIDATE_COUNT)
        )
        self._isolation.record(group, found)
        if found[:1] == [self._own] or (not found and self.holds(group)):
            return None
        return [peer for peer in found if peer != self._own]

    def trial_candidates(self, group: str) -> list[Peer]:
        """Return hosts to try while this one holds a group in isolation.

        Returns
        -------
        list[Peer]
            Empty if it holds the group for another reason, or if the last
            trial was a moment ago.
        """
        if self._was_asked(group) or not self._is_isolated(group):
            return []
        if not self._isolation.start_trial(group):
            return []
        return self.candidates(group)

    def other_holders(self, group: str) -> list[Peer]:
        """Return other hosts that may reach the primary of a group."""
        if self._is_small_system or not self._peers.is_loaded:
            return self._peers.choose(_CANDIDATE_COUNT)
        holders = [
            peer
            for peer in self._available(self._ranking(group).holders)
            if peer.host != self._own.host
        ]
        return holders or self._peers.choose(_CANDIDATE_COUNT)

    @property
    def _is_small_system(self) -> bool:
        return self._peers.count + 1 <= _MAX_SMALL_SYSTEM_COUNT

    def _ranking(self, group: str) -> _Ranking:
        if self._revision != self._peers.revision:
            self._revision = self._peers.revision
            self._rankings.clear()
            self._orders.clear()
        if group not in self._rankings:
            self._rankings[group] = self._rank(group)
        return self._rankings[group]

    def _rank(self, group: str) -> _Ranking:
        hosts = (*self._peers.peers, self._own)
        ranking = rank_by_data_centre(group, hosts)
        count = holders_per_data_centre(ranking)
        reach_count = count * (_STAND_IN_RATIO + 1)
        holders = tuple(
            peer for ranked in ranking.values() for peer in ranked[:count]
        )
        stand_ins = tuple(
            ranked[place]
            for place in range(count, reach_count)
            for ranked in ranking.values()
            if place < len(ranked)
        )
        near = [
            peer
            for peer in ranking.pop(self._own.data_centre)[:reach_count]
            if peer.host != self._own.host
        ]
        first = prefer_by_host(self._own.host, near[:count])
        far = [
            prefer_by_host(
                self._own.host,
                (
                    peer
                    for ranked in ranking.values()
                    for peer in ranked[start : start + count]
                ),
            )
            for start in range(0, reach_count, count)
        ]
        return _Ranking(
            holders=holders,
            stand_ins=stand_ins,
            near=(*first, *near[count:]),
            near_count=count,
            far=tuple(itertools.chain.from_iterable(far)),
        )

    def _order(
        self, group: str, workspace: str, quota_ratio: float
    ) -> list[Peer]:
        """Return the holders in the order for a workspace."""
        ranking = self._ranking(group)
        key = (group, workspace, quota_ratio)
        if key not in self._orders:
            if len(self._orders) >= _MAX_ORDER_COUNT:
                self._orders.clear()
            self._orders[key] = rank_for_workspace(
                group, workspace, ranking.holders, self._own, quota_ratio
            )
        return self._orders[key]

    def _available(self, peers: Iterable[Peer]) -> Iterator[Peer]:
        return filter(self._peers.is_available, peers)

    def _was_asked(self, group: str) -> bool:
        asked_s = self._asked_s.get(group)
        return asked_s is not None and (
            self._now() - asked_s < _ASKED_RETENTION_S
        )

    def _is_isolated(self, group: str) -> bool:
        if self._own not in self._ranking(group).stand_ins:
            return False
        return self._isolation.is_lasting(group)
