"""The composition root: the only module that connects the parts of a host.

Other targets or another platform are put in place by exchanging their adapter
here.
"""

import functools
import random
import secrets
from collections.abc import Mapping
from typing import Final, final

from tornado.web import Application

from mimosapond.address_book import AddressBook
from mimosapond.age_trackers import AgeTrackers
from mimosapond.anti_entropy import AntiEntropy
from mimosapond.attempt_gate import AttemptGate
from mimosapond.beacon_refresher import BeaconRefresher
from mimosapond.caller_error_handler import UnknownPathHandler
from mimosapond.caller_routes import build_caller_routes
from mimosapond.clock import MS_PER_S, SystemClock
from mimosapond.decision_log import LoguruDecisionLog
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.direct_members import DirectMembers
from mimosapond.direct_terms import DirectTerms
from mimosapond.document_editor import DocumentEditor
from mimosapond.document_spreader import DocumentSpreader
from mimosapond.document_store import DocumentStore
from mimosapond.draining import LeavingTargets
from mimosapond.entry_services import EntryServices
from mimosapond.floor_finder import FloorFinder
from mimosapond.gossip_pusher import GossipPusher
from mimosapond.gossip_state import GossipState
from mimosapond.group_keeper import GroupKeeper
from mimosapond.group_spec import GroupSpec
from mimosapond.group_supervisor import GroupSupervisor, SupervisedParts
from mimosapond.group_views import GroupViews
from mimosapond.holder_installer import HolderInstaller
from mimosapond.host import Host
from mimosapond.host_actions import HostActions
from mimosapond.host_caller import HostCaller
from mimosapond.host_leave import HostLeave
from mimosapond.host_list_poller import HostListPoller
from mimosapond.host_parts import HostParts
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.http_platform import HttpPlatform
from mimosapond.in_flight import InFlight
from mimosapond.json_link import MAX_MESSAGE_BYTES
from mimosapond.json_link_server import JsonLinkHandler
from mimosapond.json_peers import JsonPeers
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.listeners import Listeners
from mimosapond.member_reader import MemberReader
from mimosapond.membership import Membership
from mimosapond.metrics import Metrics, NullMetrics, StatsdMetrics
from mimosapond.operator_handlers import operator_application
from mimosapond.operator_promotion import OperatorPromotion
from mimosapond.opinion_collector import OpinionCollector
from mimosapond.options import Options, RoutingPolicy
from mimosapond.owner_operations import OwnerOperations
from mimosapond.owner_registry import OwnerRegistry
from mimosapond.peer_contacts import PeerContacts
from mimosapond.peer_port import PeerOperation
from mimosapond.planned_switchover import PlannedSwitchover
from mimosapond.prober import Prober
from mimosapond.read_planner import ReadPlanner
from mimosapond.read_router import ReadRouter
from mimosapond.rendezvous import Placement
from mimosapond.request_resolver import RequestResolver
from mimosapond.request_validator import RequestValidator
from mimosapond.retry_budget import RetryBudget
from mimosapond.router import Router
from mimosapond.seed_addresses import SeedAddresses
from mimosapond.spread_operations import SpreadOperations
from mimosapond.term_acquirer import TermAcquirer
from mimosapond.term_claim import TermClaims
from mimosapond.term_parts import TermParts
from mimosapond.term_registry import TermRegistry
from mimosapond.websocket_target import WebsocketTarget

_SUFFIX_BYTES: Final = 4
_PEER_PING_INTERVAL_S: Final = 20
_PEER_PING_TIMEOUT_S: Final = 10
# With the baseline policy, the entry host runs these itself.
_ENTRY_OPERATIONS: Final = frozenset(('run', 'begin', 'floor', 'settle'))
_TRANSACTION_OPERATIONS: Final = ('execute', 'commit', 'rollback')


@final
class Composition:
    """Builds the parts of one host in the order of their dependencies."""

    def __init__(self, options: Options) -> None:
        """Build all parts; nothing runs yet."""
        self._options = options
        self._clock = SystemClock()
        self._random = random.Random()
        self._build_base()
        self._build_spread()
        self._build_owner_side()
        self._build_terms()
        self._build_entry()
        self._build_listeners()

    def build_host(self) -> Host:
        """Return the host with its listeners open."""
        host = Host(
            HostParts(
                options=self._options,
                listeners=self._listeners,
                in_flight=self._in_flight,
                peer_calls=self._peer_calls,
                supervisor=self._supervisor,
                leave=HostLeave(
                    self._membership,
                    self._pusher,
                    self._host_list,
                ),
                prober=Prober(
                    self._gossip,
                    self._contacts,
                    self._clock,
                    self._options,
                ),
                pusher=self._pusher,
                anti_entropy=self._anti_entropy,
                spreader=self._spreader,
                host_list=self._host_list,
                peers=self._peers,
                target=self._target,
                platform=self._platform,
                direct_terms=self._direct_terms,
            ),
        )
        self._membership.subscribe(
            functools.partial(self._follow_own_state, host),
        )
        self._listen(host)
        return host

    def _follow_own_state(self, host: Host, record: HostRecord) -> None:
        # The platform's list may say that this host is to leave.
        is_own = record.host_id == self._own.host_id
        if is_own and record.state is HostState.LEAVING:
            host.request_leave()

    def _build_base(self) -> None:
        options = self._options
        suffix = secrets.token_hex(_SUFFIX_BYTES)
        self._own = HostRecord(
            host_id=f'{options.host_name}.{suffix}',
            address=options.peer_address,
            data_centre=options.data_centre,
        )
        self._metrics = _build_metrics(options)
        self._decisions = LoguruDecisionLog(self._own.host_id)
        self._degraded = DegradedPaths(self._metrics)
        addresses = AddressBook(options.address_overrides)
        check_s = options.connection_check_timeout_ms / MS_PER_S
        self._peers = JsonPeers(options.peer_secret, check_s, addresses)
        self._target = WebsocketTarget(check_s, addresses)
        self._platform = HttpPlatform(
            addresses.resolve(options.platform_address),
        )
        self._views = GroupViews()

    def _build_spread(self) -> None:
        options = self._options
        interval_s = options.probe_interval_ms / MS_PER_S
        self._membership = Membership(
            self._own,
            self._clock,
            self._decisions,
            interval_s,
        )
        self._placement = Placement(self._membership, self._decisions)
        self._store = DocumentStore(self._decisions)
        self._leaving = LeavingTargets(self._decisions)
        self._contacts = PeerContacts(
            self._membership,
            SeedAddresses(options.seed_addresses),
            self._peers,
            self._random,
        )
        self._spreader = DocumentSpreader(
            self._store,
            self._platform,
            self._contacts,
            self._degraded,
            self._clock,
            options,
        )
        self._gossip = GossipState(
            self._membership,
            self._views,
            self._leaving,
            self._spreader,
        )
        self._pusher = GossipPusher(self._gossip, self._contacts, options)
        self._anti_entropy = AntiEntropy(
            self._gossip,
            self._contacts,
            self._clock,
            options,
        )
        self._host_list = HostListPoller(
            self._platform,
            self._contacts,
            self._leaving,
            self._store,
            self._degraded,
            self._clock,
            options,
        )

    def _build_owner_side(self) -> None:
        self._owners = OwnerRegistry(
            self._target,
            self._options,
            self._clock,
            self._decisions,
            self._metrics,
        )
        self._holders = TermRegistry()
        self._ages = AgeTrackers(self._clock)
        self._reader = MemberReader(
            self._owners,
            self._holders.holder,
            self._ages,
            BeaconRefresher(self._ages, self._refresh),
            self._clock,
            self._decisions,
            self._leaving,
        )

    async def _refresh(self, group: str) -> None:
        await self._supervisor.refresh(group)

    def _build_terms(self) -> None:
        self._term_parts = TermParts(
            host_id=self._own.host_id,
            options=self._options,
            target=self._target,
            clock=self._clock,
            decisions=self._decisions,
            metrics=self._metrics,
        )
        self._build_direct()
        slots = self._direct_members or self._owners
        self._acquirer = TermAcquirer(
            self._term_parts,
            TermClaims(self._term_parts, self._platform),
            self._views,
            HolderInstaller(self._term_parts, slots, self._holders),
            self._leaving,
        )
        self._planned = PlannedSwitchover(
            self._term_parts,
            self._acquirer,
            self._holders,
            self._leaving,
        )
        self._supervisor = GroupSupervisor(
            SupervisedParts(
                store=self._store,
                membership=self._membership,
                placement=self._placement,
                owners=self._owners,
                holders=self._holders,
                clock=self._clock,
                build_keeper=self._build_keeper,
            ),
        )

    def _build_direct(self) -> None:
        self._direct_members: DirectMembers | None = None
        self._direct_terms: DirectTerms | None = None
        if self._options.routing_policy is not RoutingPolicy.DIRECT:
            return
        self._direct_members = DirectMembers(
            self._store,
            self._target,
            self._options,
            self._clock,
        )
        self._direct_terms = DirectTerms(
            self._term_parts,
            self._store,
            self._views,
            self._direct_members,
            self._ages,
        )

    def _build_keeper(self, group: GroupSpec) -> GroupKeeper:
        ports = KeeperPorts(
            views=self._views,
            registry=self._holders,
            acquirer=self._acquirer,
            opinions=OpinionCollector(
                self._term_parts,
                self._peers,
                self._placement,
            ),
            peers=self._peers,
            hosts=self._membership,
            placement=self._placement,
            ages=self._ages.tracker(group.name),
            degraded=self._degraded,
            planned=self._planned,
            jitter=self._random,
        )
        return GroupKeeper(self._term_parts, ports, group)

    def _build_entry(self) -> None:
        is_direct = self._direct_terms is not None
        self._caller = HostCaller(
            self._own.host_id,
            self._peers,
            _ENTRY_OPERATIONS if is_direct else frozenset(),
        )
        services = EntryServices(
            hosts=self._membership,
            owners=self._placement,
            leaving=self._leaving,
            views=self._views,
            caller=self._caller,
            budget=RetryBudget(),
            gate=AttemptGate(self._clock),
            clock=self._clock,
            decisions=self._decisions,
            metrics=self._metrics,
            degraded=self._degraded,
        )
        self._router = Router(
            services,
            RequestResolver(
                self._store,
                RequestValidator(self._clock),
                self._clock,
            ),
            ReadRouter(
                services,
                ReadPlanner(services, self._random),
                FloorFinder(services),
            ),
        )

    def _build_listeners(self) -> None:
        options = self._options
        owner_side = OwnerOperations(
            reader=self._reader,
            holders=self._holders,
            keepers=self._supervisor,
            views=self._views,
            clock=self._clock,
            store=self._store,
            planned=self._planned,
        ).operations()
        entry_side = self._direct_operations() or owner_side
        self._caller.serve(entry_side)
        owner_side = {
            **owner_side,
            **{name: entry_side[name] for name in _TRANSACTION_OPERATIONS},
        }
        spread = SpreadOperations(
            self._gossip,
            self._anti_entropy,
            self._contacts,
            self._spreader,
        ).mapping()
        self._in_flight = InFlight()
        self._peer_calls = InFlight()
        self._operations = {**self._peer_calls.counted(owner_side), **spread}
        self._listeners = Listeners(options)

    def _direct_operations(self) -> Mapping[str, PeerOperation]:
        terms, members = self._direct_terms, self._direct_members
        if terms is None or members is None:
            return {}
        reader = MemberReader(
            members,
            terms.holder,
            self._ages,
            BeaconRefresher(self._ages, terms.refresh),
            self._clock,
            self._decisions,
            self._leaving,
        )
        operations = OwnerOperations(
            reader=reader,
            holders=terms,
            keepers=self._supervisor,
            views=self._views,
            clock=self._clock,
            store=self._store,
            planned=self._planned,
        ).operations()
        return {**operations, 'floor': terms.floor}

    def _listen(self, host: Host) -> None:
        options = self._options
        callers = build_caller_routes(
            self._router,
            options.body_limit_bytes,
            self._in_flight,
        )
        peer = {
            'operations': self._operations,
            'secret': options.peer_secret,
        }
        self._listeners.open(
            'callers',
            options.caller_address,
            Application(
                list(callers),
                default_handler_class=UnknownPathHandler,
                log_function=_ignore_request,
            ),
            options.caller_connection_limit_count,
        )
        self._listeners.open(
            'peers',
            options.peer_address,
            Application(
                [('/peer', JsonLinkHandler, peer)],
                default_handler_class=UnknownPathHandler,
                log_function=_ignore_request,
                websocket_max_message_size=MAX_MESSAGE_BYTES,
                # Closes links whose other end vanished without a word.
                websocket_ping_interval=_PEER_PING_INTERVAL_S,
                websocket_ping_timeout=_PEER_PING_TIMEOUT_S,
            ),
        )
        self._listeners.open(
            'operators',
            options.operator_address,
            operator_application(
                self._build_actions(host),
                options.operator_secret,
            ),
        )

    def _build_actions(self, host: Host) -> HostActions:
        return HostActions(
            store=self._store,
            editor=DocumentEditor(
                self._store,
                self._platform,
                self._clock,
                self._random,
                self._options,
            ),
            membership=self._membership,
            views=self._views,
            supervisor=self._supervisor,
            owners=self._owners,
            leaving=self._leaving,
            promoter=OperatorPromotion(
                self._membership,
                self._views,
                self._caller,
            ),
            degraded=self._degraded,
            request_leave=host.request_leave,
        )


def _build_metrics(options: Options) -> Metrics:
    if options.statsd_address is None:
        return NullMetrics()
    host, port = options.statsd_address.rsplit(':', 1)
    return StatsdMetrics(host, int(port))


def _ignore_request(_handler: object) -> None:
    """Leave request logging to the decision log."""
