"""Builds the parts that track and distribute the state of the cluster."""

import random
from typing import final

import attrs

from mimosapond.anti_entropy import AntiEntropy
from mimosapond.clock import MS_PER_S, SystemClock
from mimosapond.decision_log import DecisionLog
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.document_store import DocumentStore
from mimosapond.document_sync import DocumentSync
from mimosapond.gossip_pusher import GossipPusher
from mimosapond.gossip_state import GossipState
from mimosapond.group_views import GroupViews
from mimosapond.host_list_poller import HostListPoller
from mimosapond.host_record import HostRecord
from mimosapond.http_platform import HttpPlatform
from mimosapond.json_peers import JsonPeers
from mimosapond.leaving_targets import LeavingTargets
from mimosapond.membership import Membership
from mimosapond.options import Options
from mimosapond.peer_contacts import PeerContacts
from mimosapond.rendezvous import Placement
from mimosapond.seed_addresses import SeedAddresses


@final
@attrs.frozen
class ClusterDependencies:
    """What the cluster parts need from the rest of the host."""

    own: HostRecord
    options: Options
    peers: JsonPeers
    platform: HttpPlatform
    views: GroupViews
    clock: SystemClock
    decisions: DecisionLog
    degraded: DegradedPaths
    random_source: random.Random


@final
@attrs.frozen
class ClusterParts:
    """Hosts, documents and leaving targets, and their synchronization."""

    membership: Membership
    placement: Placement
    store: DocumentStore
    leaving: LeavingTargets
    contacts: PeerContacts
    document_sync: DocumentSync
    gossip: GossipState
    pusher: GossipPusher
    anti_entropy: AntiEntropy
    host_list: HostListPoller


def build_cluster(dependencies: ClusterDependencies) -> ClusterParts:
    """Build the cluster parts of this host without starting them."""
    options = dependencies.options
    interval_s = options.probe_interval_ms / MS_PER_S
    membership = Membership(
        dependencies.own, dependencies.clock, dependencies.decisions, interval_s
    )
    store = DocumentStore(dependencies.decisions)
    leaving = LeavingTargets(dependencies.decisions)
    contacts = PeerContacts(
        membership,
        SeedAddresses(options.seed_addresses),
        dependencies.peers,
        dependencies.random_source,
    )
    document_sync = DocumentSync(
        store,
        dependencies.platform,
        contacts,
        dependencies.degraded,
        dependencies.clock,
        options,
    )
    gossip = GossipState(membership, dependencies.views, leaving, document_sync)
    return ClusterParts(
        membership=membership,
        placement=Placement(membership, dependencies.decisions),
        store=store,
        leaving=leaving,
        contacts=contacts,
        document_sync=document_sync,
        gossip=gossip,
        pusher=GossipPusher(gossip, contacts, options),
        anti_entropy=AntiEntropy(gossip, contacts, dependencies.clock, options),
        host_list=HostListPoller(
            dependencies.platform,
            contacts,
            leaving,
            store,
            dependencies.degraded,
            dependencies.clock,
            options,
        ),
    )
