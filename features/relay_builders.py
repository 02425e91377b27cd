"""Builders of hosts that pass work on to each other over HTTP."""

from collections.abc import Mapping
from typing import Final, final

import attrs
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from features.group_builders import (
    CENTRE,
    LEAVING_LIMIT_S,
    GroupWorld,
    build_world,
)
from features.group_fakes import FakeMember
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.route import Route
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.relayed_work_handler import (
    PeerServices,
    RelayedWorkHandler,
)
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_server import build_peer_server
from mimosapond.peers.peer_relay_finder import PeerRelayFinder
from mimosapond.peers.transaction_keys import TransactionKeys
from mimosapond.routing.primary_path import PrimaryPathFinder
from mimosapond.routing.primary_probe import PrimaryProbe
from mimosapond.routing.read_router import ReadRouter
from mimosapond.routing.relay_port import NoRelays
from mimosapond.routing.write_router import WriteRouter
from mimosapond.sessions.transaction import TransactionRouting

_LOOPBACK: Final = '127.0.0.1'


@final
@attrs.define
class RelayingPair:
    """A host that serves callers, and another that it passes work on to.

    Parameters
    ----------
    near, far
        What each of the two reaches; they share the members' fakes only if a
        test lets both reach the same ones.
    """

    near: GroupWorld
    far: GroupWorld
    directory: PeerDirectory
    finder: PeerRelayFinder
    handler: RelayedWorkHandler
    server: HTTPServer


def build_pair(route: Route) -> RelayingPair:
    """Build two hosts in the running loop; the far one listens."""
    far = build_world(route)
    handler = RelayedWorkHandler(build_peer_services(far))
    server, address = serve_handler(handler, far)
    directory, finder = build_finder('near', address)
    near = build_world(route, relays=finder)
    return RelayingPair(near, far, directory, finder, handler, server)


def serve_handler(
    handler: RelayedWorkHandler, world: GroupWorld
) -> tuple[HTTPServer, str]:
    """Let a host listen for others; return its server and address."""
    server = build_peer_server(handler, world.directory, boot_time_s)
    sockets = bind_sockets(0, _LOOPBACK)
    server.add_sockets(sockets)
    return server, f'{_LOOPBACK}:{sockets[0].getsockname()[1]}'


def build_finder(
    host: str, address: str
) -> tuple[PeerDirectory, PeerRelayFinder]:
    """Build what a host uses to pass work on to the one at ``address``."""
    directory = PeerDirectory(Peer(host, '', CENTRE), boot_time_s)
    directory.update([Peer('far', address, CENTRE)])
    client = PeerClient(directory, boot_time_s)
    finder = PeerRelayFinder(
        directory, client, TransactionKeys(host), boot_time_s
    )
    return directory, finder


def build_peer_services(world: GroupWorld) -> PeerServices:
    """Build what a host uses to carry out the work of others."""
    routing = world.services.routing
    probe = PrimaryProbe(boot_time_s, NoRelays())
    paths = PrimaryPathFinder(NoRelays(), boot_time_s, LEAVING_LIMIT_S)
    return PeerServices(
        configuration=world.services.configuration,
        directory=world.directory,
        probe=probe,
        reads=ReadRouter(
            routing.positions, routing.member_selector, NoRelays(), boot_time_s
        ),
        routing=TransactionRouting(
            routing.positions,
            routing.member_selector,
            paths,
            WriteRouter(paths, boot_time_s),
            boot_time_s,
        ),
        now=boot_time_s,
    )


def runs_of(fakes: Mapping[str, FakeMember]) -> list[str]:
    """Return what callers had run at the members, without the probes."""
    return [
        text
        for fake in fakes.values()
        for text in fake.runs
        if text not in {'BEGIN', 'ROLLBACK'}
    ]
