"""Builders of hosts that relay work over HTTP."""

from collections.abc import Mapping
from typing import Final, final

import attrs
from tornado.netutil import bind_sockets

from features.group_builders import (
    DATA_CENTRE,
    LEAVING_LIMIT_S,
    GroupWorld,
    build_world,
)
from features.group_fakes import FakeMember
from features.peer_fakes import FakePeer
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.route import Route
from mimosapond.configuration.source_contact import SourceContact
from mimosapond.groups.group import Group
from mimosapond.peers.holder_relay import HolderRelay
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.peer_frame import PeerFrame
from mimosapond.peers.peer_links import PeerLinks
from mimosapond.peers.relayed_work_handler import (
    RelayedWorkServices,
    RelayedWorkHandler,
)
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_server import PeerServer
from mimosapond.peers.peer_services import PeerServices
from mimosapond.peers.peer_relay import PeerRelay
from mimosapond.peers.peer_relay_finder import PeerRelayFinder
from mimosapond.peers.state_publisher import StatePublisher
from mimosapond.peers.transaction_keys import TransactionKeys
from mimosapond.routing import failures
from mimosapond.routing.primary_path import PrimaryPathFinder
from mimosapond.routing.primary_probe import PrimaryProbe
from mimosapond.routing.read_router import ReadRouter
from mimosapond.routing.relay_port import NoRelays
from mimosapond.routing.write_router import WriteRouter
from mimosapond.sessions.transaction import TransactionRouting
from mimosapond.statements.reply import Failure

_LOOPBACK: Final = '127.0.0.1'
_ANSWER_S: Final = 2.0
_ASKED_COUNT: Final = 4


@final
@attrs.define
class RelayingPair:
    """A host that serves callers, and another that it relays work through.

    Parameters
    ----------
    origin
        Group as the host that serves callers sees it.
    relay
        Group as the other host sees it. Each host has member fakes of its own.
    directory, finder
        Peers of the first host.
    handler, server
        Handler and listener of the other host.
    """

    origin: GroupWorld
    relay: GroupWorld
    directory: PeerDirectory
    finder: PeerRelayFinder
    handler: RelayedWorkHandler
    server: PeerServer


def build_pair(
    route: Route, *, is_revocation_strict: bool = False
) -> RelayingPair:
    """Build two hosts in the running loop; the relay listens."""
    relay = build_world(route)
    relay.services = attrs.evolve(
        relay.services, is_revocation_strict=is_revocation_strict
    )
    handler = RelayedWorkHandler(build_relayed_work_services(relay))
    server, address = serve_handler(handler, relay)
    directory, finder = build_finder('near', address)
    origin = build_world(route, relays=finder)
    return RelayingPair(origin, relay, directory, finder, handler, server)


def serve_handler(
    handler: RelayedWorkHandler, world: GroupWorld
) -> tuple[PeerServer, str]:
    """Start the listener of a host; return its server and ``ip:port``."""
    publisher = StatePublisher(
        world.directory, SourceContact(boot_time_s), boot_time_s
    )
    server = PeerServer(
        PeerServices(
            handler,
            world.directory,
            publisher,
            world.services.configuration,
            boot_time_s,
        ),
    )
    sockets = bind_sockets(0, _LOOPBACK)
    server.add_sockets(sockets)
    return server, f'{_LOOPBACK}:{sockets[0].getsockname()[1]}'


def build_finder(
    host: str, address: str
) -> tuple[PeerDirectory, PeerRelayFinder]:
    """Build what ``host`` uses to relay work through the one at ``address``."""
    directory = PeerDirectory(Peer(host, '', DATA_CENTRE), boot_time_s)
    directory.update([Peer('far', address, DATA_CENTRE)])
    client = PeerClient(directory, boot_time_s)
    finder = PeerRelayFinder(
        lambda _: directory.choose(_ASKED_COUNT),
        client,
        TransactionKeys(host),
        boot_time_s,
    )
    return directory, finder


def build_relayed_work_services(world: GroupWorld) -> RelayedWorkServices:
    """Build what a host uses to run relayed work."""
    routing = world.services.routing
    probe = PrimaryProbe(boot_time_s, NoRelays())
    paths = PrimaryPathFinder(NoRelays(), boot_time_s, LEAVING_LIMIT_S)
    return RelayedWorkServices(
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
            WriteRouter(paths, routing.witnesses, boot_time_s),
            boot_time_s,
            routing.witnesses,
        ),
        now=boot_time_s,
        limits=world.services.limits,
        is_revocation_strict=world.services.is_revocation_strict,
    )


async def send_to_peer(peer: Peer, path: str, body: bytes) -> int:
    """Send a body to a host and return the status of its answer."""
    answer = await PeerLinks(boot_time_s).call(peer, path, body, _ANSWER_S)
    assert isinstance(answer, PeerFrame), answer
    return int(answer.word)


def caller_statements(fakes: Mapping[str, FakeMember]) -> list[str]:
    """Return the statements of callers that members ran, without probes."""
    return [
        text
        for fake in fakes.values()
        for text in fake.executed_statements
        if text not in {'BEGIN', 'ROLLBACK'}
    ]


async def build_held_pair(route: Route, fault: str) -> RelayingPair:
    """Build a host without connections, and one that holds its group.

    Parameters
    ----------
    fault
        What a holder that is preferred to the other one does; empty without
        such a holder.
    """
    pair = build_pair(route)
    peers = [*_build_faulty_peers(route, fault), *pair.directory.peers]
    pair.directory.update(peers)
    client = PeerClient(pair.directory, boot_time_s)
    keys = TransactionKeys('near')
    holders = _FixedHolders(peers, pair.directory, client, keys)
    services = pair.origin.services
    paths = PrimaryPathFinder(NoRelays(), boot_time_s, LEAVING_LIMIT_S, holders)
    routing = attrs.evolve(
        services.routing,
        paths=paths,
        writes=WriteRouter(paths, services.routing.witnesses, boot_time_s),
        holders=holders,
    )
    reads = ReadRouter(
        routing.positions,
        routing.member_selector,
        NoRelays(),
        boot_time_s,
        holders,
    )
    pair.origin.services = attrs.evolve(services, reads=reads, routing=routing)
    return pair


def _build_faulty_peers(route: Route, fault: str) -> list[Peer]:
    match fault:
        case '':
            return []
        case 'is unreachable':
            return [Peer('lost', f'{_LOOPBACK}:1', DATA_CENTRE)]
        case 'is stopping':
            world = build_world(route)
            handler = RelayedWorkHandler(build_relayed_work_services(world))
            handler.is_stopping = True
            return [Peer('lost', serve_handler(handler, world)[1], DATA_CENTRE)]
        case _:
            silent = FakePeer(is_first_connection_silent=True)
            return [Peer('lost', silent.open_port(), DATA_CENTRE)]


@final
@attrs.frozen
class _FixedHolders:
    """Holders in a fixed order; see ``HolderFinder``."""

    peers: list[Peer]
    directory: PeerDirectory
    client: PeerClient
    keys: TransactionKeys

    def find(self, group: Group, workspace: str = '') -> HolderRelay | Failure:
        """Return the holders that are available."""
        relays = [
            PeerRelay(peer, self.client, self, self.keys)
            for peer in self.peers
            if self.directory.is_available(peer)
        ]
        if not relays:
            return failures.NO_HOLDER
        return HolderRelay(relays, boot_time_s)

    def forget(self, group: str) -> None:
        """Do nothing: the directory records failures."""
