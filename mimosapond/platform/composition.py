"""Wires up the components of a host that runs on the platform."""

import functools
import socket
from collections.abc import Callable
from typing import Final, final

from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.configuration import Configuration
from mimosapond.configuration.configuration_follower import (
    ConfigurationFollower,
)
from mimosapond.configuration.quota_shares import QuotaShares
from mimosapond.configuration.source_contact import SourceContact
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.entry.host_resources import HostResources
from mimosapond.entry.host_settings import HostSettings
from mimosapond.entry.platform_host import HostParts, PlatformHost
from mimosapond.entry.reachability import Reachability
from mimosapond.entry.rotation_tracker import RotationTracker
from mimosapond.entry.readiness_server import build_readiness_server
from mimosapond.failover.departure_detector import DepartureDetector
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.failover_coordinator import FailoverCoordinator
from mimosapond.failover.promoter import Promoter
from mimosapond.failover.reserved_token_claims import ReservedTokenClaims
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.registration_poller import RegistrationPoller
from mimosapond.log_rate_limit import LogRateLimit
from mimosapond.peers.configuration_requester import ConfigurationRequester
from mimosapond.peers.holder_directory import HolderDirectory
from mimosapond.peers.holder_relay import HolderRelayFinder
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.relayed_work_handler import (
    RelayedWorkServices,
    RelayedWorkHandler,
)
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_discovery import PeerDiscovery
from mimosapond.peers.peer_server import PeerServer
from mimosapond.peers.peer_services import PeerServices
from mimosapond.peers.peer_relay_finder import PeerRelayFinder
from mimosapond.peers.peer_versions import PeerVersions
from mimosapond.peers.state_follower import StateFollower
from mimosapond.peers.state_publisher import StatePublisher
from mimosapond.peers.state_sharing import StateSharing
from mimosapond.peers.transaction_keys import TransactionKeys
from mimosapond.platform.caller_server import CallerServer
from mimosapond.platform.member_dialer import WireMemberDialer
from mimosapond.platform.promotion_client import PromotionClient
from mimosapond.platform.quota_composition import build_host_quotas
from mimosapond.platform.store_client import StoreClient
from mimosapond.platform.store_configuration import StoreConfiguration
from mimosapond.platform.store_claims import StoreClaims
from mimosapond.platform.store_peers import StorePeers
from mimosapond.platform.store_registrations import StoreRegistrations
from mimosapond.routing.commit_witnesses import CommitWitnesses
from mimosapond.routing.pending_change_check import PendingChangeCheck
from mimosapond.routing.holder_port import HolderFinder, RunsHere
from mimosapond.routing.lead_proof import (
    AnswerProof,
    LeadProof,
    ReplicaProof,
)
from mimosapond.routing.member_selector import MemberSelector
from mimosapond.routing.primary_path import PrimaryPathFinder
from mimosapond.routing.primary_probe import PrimaryProbe
from mimosapond.routing.read_position_finder import ReadPositionFinder
from mimosapond.routing.read_router import ReadRouter
from mimosapond.routing.relay_port import NoRelays, RelayFinder
from mimosapond.routing.write_router import WriteRouter
from mimosapond.sessions.serving_limits import ServingLimits
from mimosapond.sessions.session_services import SessionServices
from mimosapond.sessions.transaction import TransactionRouting

_READY_PATH: Final = '/api/ready'
_CONNECT_TIMEOUT_S: Final = 0.25
# Longer than the connect timeout, as a member that is busy with other requests
# answers START late.
_START_TIMEOUT_S: Final = 1.0
_MS_PER_S: Final = 1000
# Hosts stop sending new work to a leaving primary this long before the end of
# its drain period, since they may learn of the drain late and requests may
# queue at the primary.
_DRAIN_MARGIN_S: Final = 2.5


@final
class PlatformComposition:
    """Builds the components of a host from its settings."""

    def __init__(
        self, settings: HostSettings, log_rate_limit: LogRateLimit
    ) -> None:
        """Create the components that several others use."""
        self._settings = settings
        self._log_rate_limit = log_rate_limit
        self._now = boot_time_s
        self._resources = HostResources.plan(settings, self._now)
        self._store = StoreClient(settings.store_address)
        self._active_configuration = ActiveConfiguration()
        self._own_peer = Peer(
            settings.host,
            settings.peer_address,
            settings.data_centre,
            settings.capacity,
        )
        self._peers = PeerDirectory(self._own_peer, self._now)
        self._holders = HolderDirectory(self._peers, self._own_peer, self._now)
        self._directory = GroupDirectory(
            WireMemberDialer(
                _CONNECT_TIMEOUT_S, _START_TIMEOUT_S, self._resources.answers
            ),
            self._now,
            self._holders,
        )
        self._source_contact = SourceContact(self._now)
        self._peer_versions = PeerVersions(self._active_configuration)
        peer_client = PeerClient(
            self._peers,
            self._now,
            self._peer_versions,
            self._resources.answers,
        )
        self._peer_client = peer_client
        self._state_publisher = StatePublisher(
            self._directory, self._source_contact, self._now
        )
        self._state_follower = StateFollower(
            self._own_peer,
            self._peers,
            peer_client,
            self._directory,
            self._now,
        )
        self._source_contact.is_covered = functools.partial(
            self._state_follower.covers_configuration,
            self._configuration_limit_s(),
        )
        self._registrations = RegistrationPoller(
            StoreRegistrations(self._store),
            self._directory,
            StateSharing(self._state_follower, self._state_publisher),
        )
        self._quotas = build_host_quotas(
            settings,
            self._active_configuration,
            self._peers,
            self._own_peer,
            peer_client,
            self._now,
        )
        keys = TransactionKeys(settings.host)
        self._relay_finder = PeerRelayFinder(
            self._holders.other_holders, peer_client, keys, self._now
        )
        self._holder_finder = HolderRelayFinder(
            self._holders,
            peer_client,
            keys,
            self._now,
            QuotaShares(self._active_configuration).ratio,
        )
        self._lead_proof: LeadProof = (
            AnswerProof() if settings.has_token_check else ReplicaProof()
        )
        self._primary_probe = PrimaryProbe(
            self._now, self._relay_finder, self._lead_proof
        )
        self._claims = ReservedTokenClaims(
            StoreClaims(self._store, settings.host, self._now),
            self._now,
            lambda: settings.has_token_check and self._directory.holds_any,
        )
        self._witnesses = CommitWitnesses(
            self._now,
            PendingChangeCheck(
                self._claims, self._now, lambda: self._directory.is_current
            ),
        )
        self._limits = ServingLimits(self._now)
        self._sessions = SessionRegistry(self._build_session_services())
        self._relayed_work_handler = RelayedWorkHandler(
            self._build_relayed_work_services()
        )

    def build_host(self, listener: socket.socket) -> PlatformHost:
        """Open the ports for readiness checks and peers, and return the host.

        Parameters
        ----------
        listener
            Socket that already listens for callers. The host accepts
            connections on it once it is ready to serve them.
        """
        callers = CallerServer(self._sessions, self._resources)
        host = PlatformHost(
            self._build_host_parts(
                functools.partial(callers.add_socket, listener)
            ),
            self._settings.stop_grace_s,
        )
        ready_ip, ready_port = _split_address(self._settings.ready_address)
        build_readiness_server(_READY_PATH, host.report_readiness).listen(
            ready_port, ready_ip
        )
        peer_ip, peer_port = _split_address(self._settings.peer_address)
        PeerServer(
            PeerServices(
                self._relayed_work_handler,
                self._directory,
                self._state_publisher,
                self._active_configuration,
                self._now,
                self._quotas.service,
            ),
            self._resources,
        ).listen(peer_port, peer_ip)
        return host

    def _build_session_services(self) -> SessionServices:
        routing = self._build_routing(
            self._primary_probe, self._relay_finder, self._holder_finder
        )
        return SessionServices(
            configuration=self._active_configuration,
            directory=self._directory,
            reads=self._build_read_router(routing, self._relay_finder),
            routing=routing,
            limits=self._limits,
            is_revocation_strict=self._settings.is_revocation_strict,
        )

    def _build_relayed_work_services(self) -> RelayedWorkServices:
        probe = PrimaryProbe(self._now, NoRelays(), self._lead_proof)
        routing = self._build_routing(probe, NoRelays(), RunsHere())
        return RelayedWorkServices(
            configuration=self._active_configuration,
            directory=self._directory,
            probe=probe,
            reads=self._build_read_router(routing, NoRelays()),
            routing=routing,
            now=self._now,
            limits=self._limits,
            holding=self._holders,
            is_revocation_strict=self._settings.is_revocation_strict,
        )

    def _build_read_router(
        self, routing: TransactionRouting, relays: RelayFinder
    ) -> ReadRouter:
        return ReadRouter(
            routing.positions,
            routing.member_selector,
            relays,
            self._now,
            routing.holders,
            routing.writes.quotas,
        )

    def _build_routing(
        self, probe: PrimaryProbe, relays: RelayFinder, holders: HolderFinder
    ) -> TransactionRouting:
        paths = PrimaryPathFinder(
            relays,
            self._now,
            self._member_drain_s() - _DRAIN_MARGIN_S,
            holders,
        )
        return TransactionRouting(
            positions=ReadPositionFinder(probe, self._now),
            member_selector=MemberSelector(
                self._settings.data_centre, self._now
            ),
            paths=paths,
            writes=WriteRouter(
                paths, self._witnesses, self._now, self._quotas.gate
            ),
            now=self._now,
            witnesses=self._witnesses,
            holders=holders,
            proof=self._lead_proof,
        )

    def _member_drain_s(self) -> float:
        return self._settings.member_drain_ms / _MS_PER_S

    def _build_host_parts(
        self, accept_callers: Callable[[], None]
    ) -> HostParts:
        return HostParts(
            active_configuration=self._active_configuration,
            directory=self._directory,
            sessions=self._sessions,
            relayed_work_handler=self._relayed_work_handler,
            primary_probe=self._primary_probe,
            holding=self._holders,
            relay_finder=self._relay_finder,
            failover_coordinator=self._build_failover_coordinator(),
            reachability=Reachability(
                self._directory, self._now, self._holders
            ),
            rotation=RotationTracker(self._now),
            limits=self._limits,
            accept_callers=accept_callers,
            tasks={
                'configuration': self._build_configuration_follower().run,
                'versions': self._build_configuration_requester().run,
                'registrations': self._registrations.run,
                'duties': self._claims.run,
                'peers': self._build_peer_discovery().run,
                'shared state': self._state_follower.run,
                'quotas': self._quotas.service.run,
            },
            log_rate_limit=self._log_rate_limit,
            now=self._now,
        )

    def _configuration_limit_s(self) -> float:
        return self._settings.configuration_limit_ms / _MS_PER_S

    def _adopt_configuration(self, configuration: Configuration) -> None:
        """Adopt the limits, and tell the hosts that follow this one."""
        self._directory.apply_limits(configuration)
        self._state_publisher.notify()

    def _build_configuration_follower(self) -> ConfigurationFollower:
        return ConfigurationFollower(
            StoreConfiguration(self._store),
            self._active_configuration,
            self._adopt_configuration,
            self._configuration_limit_s(),
            self._source_contact,
        )

    def _build_peer_discovery(self) -> PeerDiscovery:
        return PeerDiscovery(
            self._own_peer,
            StorePeers(self._store),
            self._peers,
            self._directory.request_checks,
            is_first_start=self._settings.starts_system,
        )

    def _build_configuration_requester(self) -> ConfigurationRequester:
        return ConfigurationRequester(
            self._active_configuration,
            self._adopt_configuration,
            self._source_contact,
            self._peer_versions,
            self._peer_client,
            self._peers,
            self._configuration_limit_s(),
        )

    def _build_failover_coordinator(self) -> FailoverCoordinator:
        host = self._settings.host
        return FailoverCoordinator(
            self._claims,
            Promoter(
                PromotionClient(self._settings.promotion_address, host),
                self._primary_probe,
                self._now,
            ),
            GroupMembership(
                DepartureDetector(
                    self._directory, self._member_drain_s(), self._now
                ),
                self._directory,
                self._registrations,
                self._now,
            ),
            self._now,
        )


def _split_address(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(':')
    return ip, int(port)
