"""Gossip and service documents of one host, with in-memory ports."""

import random
from typing import final

from loadtool.memory_peers import MemoryPeers
from loadtool.gossip_options import PROBE_INTERVAL_S, build_options
from loadtool.simulated_environment import SimulatedEnvironment
from mimosapond.anti_entropy import AntiEntropy
from mimosapond.decision_log import NullDecisionLog
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.document_editor import DocumentEditor
from mimosapond.document_store import DocumentStore
from mimosapond.document_sync import DocumentSync
from mimosapond.gossip_operations import GossipOperations
from mimosapond.gossip_pusher import GossipPusher
from mimosapond.gossip_state import GossipState
from mimosapond.group_views import GroupViews
from mimosapond.leave_announcer import LeaveAnnouncer
from mimosapond.host_list_poller import HostListPoller
from mimosapond.host_record import HostRecord
from mimosapond.leaving_targets import LeavingTargets
from mimosapond.membership import Membership
from mimosapond.metrics import NullMetrics
from mimosapond.peer_contacts import PeerContacts
from mimosapond.prober import Prober
from mimosapond.rendezvous import Placement
from mimosapond.seed_addresses import SeedAddresses


@final
class GossipInstance:
    """The parts of one host that spread state between hosts.

    Callers run the steps of the parts, or start the tasks of the parts.
    """

    def __init__(
        self,
        own: HostRecord,
        environment: SimulatedEnvironment,
        rng: random.Random,
        seeds: tuple[str, ...] = (),
        known: tuple[HostRecord, ...] = (),
        views: GroupViews | None = None,
    ) -> None:
        """Build the parts and attach them to the network.

        Parameters
        ----------
        own
            Record of the host.
        environment
            Network, platform and clock.
        rng
            Source of random choices.
        seeds
            Peer addresses of seed hosts.
        known, views
            Hosts and groups that the instance knows from the start and does
            not gossip about as news.
        """
        platform = environment.platform
        clock = environment.clock
        options = build_options(own)
        decisions = NullDecisionLog()
        self.degraded = DegradedPaths(NullMetrics())
        self.membership = Membership(own, clock, decisions, PROBE_INTERVAL_S)
        for record in known:
            self.membership.merge(record)
        self.views = views or GroupViews()
        self.leaving = LeavingTargets(decisions)
        self.store = DocumentStore(decisions)
        self.contacts = PeerContacts(
            self.membership,
            SeedAddresses(seeds),
            MemoryPeers(environment.network, own.address),
            rng,
        )
        self.documents = DocumentSync(
            self.store,
            platform,
            self.contacts,
            self.degraded,
            clock,
            options,
        )
        self.editor = DocumentEditor(self.store, platform, clock, rng, options)
        self.gossip = GossipState(
            self.membership,
            self.views,
            self.leaving,
            self.documents,
        )
        self.pusher = GossipPusher(self.gossip, self.contacts, options)
        self.anti_entropy = AntiEntropy(
            self.gossip,
            self.contacts,
            clock,
            options,
        )
        self.prober = Prober(self.gossip, self.contacts, clock, options)
        self.host_list = HostListPoller(
            platform,
            self.contacts,
            self.leaving,
            self.store,
            self.degraded,
            clock,
            options,
        )
        self.leave = LeaveAnnouncer(
            self.membership, self.pusher, self.host_list
        )
        self.placement = Placement(self.membership, decisions)
        operations = GossipOperations(
            self.gossip,
            self.anti_entropy,
            self.contacts,
            self.documents,
        )
        network = environment.network
        network.attach(own.address, operations.mapping())

    async def push(self) -> None:
        """Do once what the tasks do immediately after a change."""
        await self.pusher.push()
        await self.documents.push()
        await self.documents.pull_from_mismatched()

    async def run_period(self) -> None:
        """Do once what the tasks do in one probe interval."""
        await self.prober.step()
        await self.push()
