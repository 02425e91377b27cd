"""The composition root: builds the parts of a host and connects them.

No other module chooses the adapters. To use other targets or another platform,
replace their adapters here.
"""

import functools
import random
import secrets
from collections.abc import Mapping
from typing import Final, final

from mimosapond.address_translator import AddressTranslator
from mimosapond.attempt_gate import AttemptGate
from mimosapond.beacon_refresher import BeaconRefresher
from mimosapond.caller_routes import build_caller_routes
from mimosapond.clock import MS_PER_S, SystemClock
from mimosapond.composition_cluster import ClusterDependencies, build_cluster
from mimosapond.composition_listeners import open_listeners
from mimosapond.composition_terms import TermComposition
from mimosapond.decision_log import LoguruDecisionLog
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.document_editor import DocumentEditor
from mimosapond.entry_services import EntryServices
from mimosapond.floor_finder import FloorFinder
from mimosapond.gossip_operations import GossipOperations
from mimosapond.group_views import GroupViews
from mimosapond.host import Host
from mimosapond.host_actions import HostActions
from mimosapond.host_client import HostClient
from mimosapond.leave_announcer import LeaveAnnouncer
from mimosapond.host_parts import HostParts
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.http_platform import HttpPlatform
from mimosapond.in_flight import InFlight
from mimosapond.json_peers import JsonPeers
from mimosapond.listeners import Listeners
from mimosapond.member_reader import MemberReader
from mimosapond.metrics import Metrics, NullMetrics, StatsdMetrics
from mimosapond.operator_promotion import OperatorPromotion
from mimosapond.options import Options
from mimosapond.owner_operations import OwnerOperations
from mimosapond.peer_port import PeerOperation
from mimosapond.prober import Prober
from mimosapond.read_planner import ReadPlanner
from mimosapond.read_router import ReadRouter
from mimosapond.request_resolver import RequestResolver
from mimosapond.request_validator import RequestValidator
from mimosapond.retry_budget import RetryBudget
from mimosapond.router import Router
from mimosapond.term_dependencies import TermDependencies
from mimosapond.websocket_target import WebsocketTarget

_HOST_ID_SUFFIX_BYTES: Final = 4
# With the routing policy DIRECT, the host that received a request runs these
# operations itself.
_ENTRY_OPERATIONS: Final = frozenset(('run', 'begin', 'floor', 'settle'))
_TRANSACTION_OPERATIONS: Final = ('execute', 'commit', 'rollback')


@final
class Composition:
    """Builds the parts of one host in the order of their dependencies."""

    def __init__(self, options: Options) -> None:
        """Build all parts without starting them."""
        self._options = options
        self._clock = SystemClock()
        self._random = random.Random()
        self._build_base()
        self._build_cluster()
        self._terms = TermComposition(
            TermDependencies(
                host_id=self._own.host_id,
                options=self._options,
                target=self._target,
                platform=self._platform,
                peers=self._peers,
                views=self._views,
                cluster=self._cluster,
                clock=self._clock,
                decisions=self._decisions,
                metrics=self._metrics,
                degraded=self._degraded,
                random_source=self._random,
            ),
        )
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
                supervisor=self._terms.supervisor,
                leave_announcer=LeaveAnnouncer(
                    self._cluster.membership,
                    self._cluster.pusher,
                    self._cluster.host_list,
                ),
                prober=Prober(
                    self._cluster.gossip,
                    self._cluster.contacts,
                    self._clock,
                    self._options,
                ),
                pusher=self._cluster.pusher,
                anti_entropy=self._cluster.anti_entropy,
                document_sync=self._cluster.document_sync,
                host_list=self._cluster.host_list,
                peers=self._peers,
                target=self._target,
                platform=self._platform,
                direct_terms=self._terms.direct_terms,
            ),
        )
        self._cluster.membership.subscribe(
            functools.partial(self._handle_record, host),
        )
        self._listen(host)
        return host

    def _handle_record(self, host: Host, record: HostRecord) -> None:
        # The host list of the platform can request the shutdown of this host.
        is_own = record.host_id == self._own.host_id
        if is_own and record.state is HostState.LEAVING:
            host.request_leave()

    def _build_base(self) -> None:
        options = self._options
        suffix = secrets.token_hex(_HOST_ID_SUFFIX_BYTES)
        self._own = HostRecord(
            host_id=f'{options.host_name}.{suffix}',
            address=options.peer_address,
            data_centre=options.data_centre,
        )
        self._metrics = _build_metrics(options)
        self._decisions = LoguruDecisionLog(self._own.host_id)
        self._degraded = DegradedPaths(self._metrics)
        addresses = AddressTranslator(options.address_overrides)
        connect_timeout_s = options.connection_check_timeout_ms / MS_PER_S
        self._peers = JsonPeers(
            options.peer_secret, connect_timeout_s, addresses
        )
        self._target = WebsocketTarget(connect_timeout_s, addresses)
        self._platform = HttpPlatform(
            addresses.resolve(options.platform_address),
        )
        self._views = GroupViews()

    def _build_cluster(self) -> None:
        self._cluster = build_cluster(
            ClusterDependencies(
                own=self._own,
                options=self._options,
                peers=self._peers,
                platform=self._platform,
                views=self._views,
                clock=self._clock,
                decisions=self._decisions,
                degraded=self._degraded,
                random_source=self._random,
            ),
        )

    def _build_entry(self) -> None:
        is_direct = self._terms.direct_terms is not None
        self._host_client = HostClient(
            self._own.host_id,
            self._peers,
            _ENTRY_OPERATIONS if is_direct else frozenset(),
        )
        services = EntryServices(
            hosts=self._cluster.membership,
            owners=self._cluster.placement,
            leaving=self._cluster.leaving,
            views=self._views,
            host_client=self._host_client,
            retry_budget=RetryBudget(),
            gate=AttemptGate(self._clock),
            clock=self._clock,
            decisions=self._decisions,
            metrics=self._metrics,
            degraded=self._degraded,
        )
        self._router = Router(
            services,
            RequestResolver(
                self._cluster.store,
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
        owner_operations = OwnerOperations(
            reader=self._terms.reader,
            holders=self._terms.holders,
            keepers=self._terms.supervisor,
            views=self._views,
            clock=self._clock,
            store=self._cluster.store,
            planned=self._terms.switchover,
        ).operations()
        local_operations = self._direct_operations() or owner_operations
        self._host_client.serve(local_operations)
        owner_operations = {
            **owner_operations,
            **{
                name: local_operations[name] for name in _TRANSACTION_OPERATIONS
            },
        }
        gossip_operations = GossipOperations(
            self._cluster.gossip,
            self._cluster.anti_entropy,
            self._cluster.contacts,
            self._cluster.document_sync,
        ).mapping()
        self._in_flight = InFlight()
        self._peer_calls = InFlight()
        self._operations = {
            **self._peer_calls.counted(owner_operations),
            **gossip_operations,
        }
        self._listeners = Listeners(options)

    def _direct_operations(self) -> Mapping[str, PeerOperation]:
        terms, members = self._terms.direct_terms, self._terms.direct_pools
        if terms is None or members is None:
            return {}
        reader = MemberReader(
            members,
            terms.holder,
            self._terms.ages,
            BeaconRefresher(self._terms.ages, terms.refresh),
            self._clock,
            self._decisions,
            self._cluster.leaving,
        )
        operations = OwnerOperations(
            reader=reader,
            holders=terms,
            keepers=self._terms.supervisor,
            views=self._views,
            clock=self._clock,
            store=self._cluster.store,
            planned=self._terms.switchover,
        ).operations()
        return {**operations, 'floor': terms.floor}

    def _listen(self, host: Host) -> None:
        open_listeners(
            self._listeners,
            self._options,
            build_caller_routes(
                self._router,
                self._options.body_limit_bytes,
                self._in_flight,
            ),
            self._operations,
            self._build_actions(host),
        )

    def _build_actions(self, host: Host) -> HostActions:
        return HostActions(
            store=self._cluster.store,
            editor=DocumentEditor(
                self._cluster.store,
                self._platform,
                self._clock,
                self._random,
                self._options,
            ),
            membership=self._cluster.membership,
            views=self._views,
            supervisor=self._terms.supervisor,
            owners=self._terms.owners,
            leaving=self._cluster.leaving,
            promoter=OperatorPromotion(
                self._cluster.membership,
                self._views,
                self._host_client,
            ),
            degraded=self._degraded,
            request_leave=host.request_leave,
        )


def _build_metrics(options: Options) -> Metrics:
    if options.statsd_address is None:
        return NullMetrics()
    host, port = options.statsd_address.rsplit(':', 1)
    return StatsdMetrics(host, int(port))
