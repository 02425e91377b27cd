"""Since when this host reaches no other host that holds a group."""

from collections.abc import Iterable
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory

# Time without any reachable holder after which a host holds a group itself.
_ISOLATION_TIMEOUT_S: Final = 3.0
# Interval at which a host that holds a group in isolation passes one request on
# to a holder, to learn whether it answers again.
_TRIAL_INTERVAL_S: Final = 1.0


@final
class Isolation:
    """Learns from the hosts that are found for each group."""

    def __init__(self, peers: PeerDirectory, now: Now) -> None:
        """Start without knowledge.

        Parameters
        ----------
        peers
            Knows which of the other hosts fail to answer.
        """
        self._peers = peers
        self._now = now
        self._since_s: dict[str, float] = {}
        self._next_trial_s: dict[str, float] = {}

    def is_lasting(self, group: str) -> bool:
        """Return whether no other host has been reached for some seconds."""
        since_s = self._since_s.get(group)
        return since_s is not None and (
            self._now() - since_s > _ISOLATION_TIMEOUT_S
        )

    def start_trial(self, group: str) -> bool:
        """Return whether one request is to be passed on to another host."""
        if self._now() < self._next_trial_s.get(group, 0):
            return False
        self._next_trial_s[group] = self._now() + _TRIAL_INTERVAL_S
        return True

    def record(self, group: str, found: Iterable[Peer]) -> None:
        """Record which hosts may be chosen for a group.

        One that failed may be chosen again after a pause. It ends the
        isolation only once it answers.
        """
        found = tuple(found)
        if not found:
            self._since_s.setdefault(group, self._now())
        elif not all(map(self._peers.has_failed, found)):
            self._since_s.pop(group, None)
