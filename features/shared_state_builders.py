"""Builders of hosts that hand on what they read in the platform's store."""

from typing import Final, final

import attrs
from tornado.netutil import bind_sockets

from features.group_builders import (
    DATA_CENTRE,
    build_configuration,
    build_record,
    build_route,
    build_world,
)
from features.group_fakes import FakeDialer
from features.relay_builders import build_relayed_work_services
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.source_contact import SourceContact
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.member_record import MemberRecord
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_server import PeerServer
from mimosapond.peers.peer_services import PeerServices
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.peers.state_follower import StateFollower
from mimosapond.peers.state_publisher import StatePublisher

_LOOPBACK: Final = '127.0.0.1'
# Gives the reader the first place of the ranking of the data centre.
_READER_CAPACITY: Final = 1e9


@final
@attrs.define
class SharingPair:
    """A host that reads the store and one that follows it.

    Parameters
    ----------
    source, own
        Groups as the reader and as the follower know them.
    """

    source: GroupDirectory
    own: GroupDirectory
    contact: SourceContact
    publisher: StatePublisher
    follower: StateFollower
    server: PeerServer


def build_directory() -> GroupDirectory:
    """Build a directory that no registrations were read into."""
    directory = GroupDirectory(FakeDialer({}), boot_time_s)
    directory.apply_limits(build_configuration(build_route()))
    return directory


def build_records(*names: str) -> list[MemberRecord]:
    """Build registrations of members."""
    return [build_record(name) for name in names]


def build_sharing_pair() -> SharingPair:
    """Build two hosts in the running loop; the reader listens."""
    source, own = build_directory(), build_directory()
    contact = SourceContact(boot_time_s)
    publisher = StatePublisher(source, contact, boot_time_s)
    server, address = _serve(publisher, source)
    near = Peer('near', '', DATA_CENTRE)
    peers = PeerDirectory(near, boot_time_s)
    peers.update([Peer('reader', address, DATA_CENTRE, _READER_CAPACITY)])
    follower = StateFollower(
        near, peers, PeerClient(peers, boot_time_s), own, boot_time_s
    )
    return SharingPair(source, own, contact, publisher, follower, server)


def _serve(
    publisher: StatePublisher, directory: GroupDirectory
) -> tuple[PeerServer, str]:
    world = build_world()
    handler = RelayedWorkHandler(build_relayed_work_services(world))
    server = PeerServer(
        PeerServices(
            handler,
            directory,
            publisher,
            world.services.configuration,
            boot_time_s,
        ),
    )
    sockets = bind_sockets(0, _LOOPBACK)
    server.add_sockets(sockets)
    return server, f'{_LOOPBACK}:{sockets[0].getsockname()[1]}'
