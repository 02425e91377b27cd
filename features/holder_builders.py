"""Builders of systems with many hosts, and of holders of groups."""

from collections.abc import Iterable
from typing import Final, final

import attrs

from mimosapond.peers.holder_directory import HolderDirectory
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory

_START_S: Final = 100.0


@final
class TestClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        """Start at a time after zero."""
        self.now_s = _START_S

    def __call__(self) -> float:
        """Return the current time."""
        return self.now_s


@final
@attrs.define
class HostView:
    """What one host knows of the others."""

    own: Peer
    peers: PeerDirectory
    holders: HolderDirectory
    clock: TestClock


def build_peers(host_count: int, data_centre_count: int) -> list[Peer]:
    """Build hosts, distributed over data centres in turn."""
    return [
        Peer(
            f'host-{number}',
            f'10.0.0.1:{number + 1}',
            f'centre-{number % data_centre_count}',
        )
        for number in range(host_count)
    ]


def build_view(own: Peer, hosts: Iterable[Peer]) -> HostView:
    """Build what a host knows after it has read all announcements."""
    view = build_new_view(own)
    view.peers.update(hosts)
    return view


def build_new_view(own: Peer) -> HostView:
    """Build what a host knows before it has read the announcements."""
    clock = TestClock()
    peers = PeerDirectory(own, clock)
    return HostView(own, peers, HolderDirectory(peers, own, clock), clock)


def find_holders(group: str, hosts: list[Peer]) -> set[str]:
    """Return the hosts that consider themselves holders of a group."""
    return {
        host.host
        for host in hosts
        if build_view(host, hosts).holders.holds(group)
    }
