"""Builders of groups, routes and sessions for tests."""

import functools
import math
import zlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

import attrs

from features.group_fakes import (
    FakeDialer,
    FakeClaims,
    FakeMember,
    FakePromotions,
    FakeRegistrations,
)
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.configuration import Configuration, GroupLimits
from mimosapond.configuration.route import Freshness, Route
from mimosapond.failover.claim_port import ClaimPort
from mimosapond.failover.departure_detector import DepartureDetector
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.failover_coordinator import FailoverCoordinator
from mimosapond.failover.promoter import Promoter
from mimosapond.groups.group import Group
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.registration_poller import RegistrationPoller
from mimosapond.routing.commit_witnesses import CommitWitnesses
from mimosapond.routing.lead_proof import ReplicaProof
from mimosapond.routing.member_selector import MemberSelector
from mimosapond.routing.primary_path import PrimaryPathFinder
from mimosapond.routing.primary_probe import PrimaryProbe
from mimosapond.routing.read_position_finder import ReadPositionFinder
from mimosapond.routing.read_router import ReadRouter
from mimosapond.routing.relay_port import NoRelays, RelayFinder
from mimosapond.routing.write_router import WriteRouter
from mimosapond.sessions.serving_limits import ServingLimits
from mimosapond.sessions.session import Session
from mimosapond.sessions.session_services import SessionServices
from mimosapond.sessions.transaction import TransactionRouting

GROUP = 'orders'
DATABASE = 'book'
DATA_CENTRE = 'centre-a'
# Time for which a leaving primary that is not replaced gets new work.
LEAVING_LIMIT_S = 0.1
# Time for which a member serves after it announced that it leaves.
DRAIN_S = 7
_NO_RELAYS: Final = NoRelays()
_PORT_COUNT: Final = 60_000
# The member whose address a member takes over.
_PLACES: Final = MappingProxyType({'d': 'a'})


def build_route(
    freshness: Freshness = Freshness.latest,
    timeout_ms: float = 400,
    max_age_ms: float = 1500,
) -> Route:
    """Build the route to the database of the group."""
    return Route(
        database=DATABASE,
        group=GROUP,
        freshness=freshness,
        max_age_ms=max_age_ms,
        statement_timeout_ms=timeout_ms,
        priority=1,
    )


def build_configuration(
    route: Route, version: int = 1, idle_ms: float = 3000
) -> Configuration:
    """Build a configuration with one route."""
    return Configuration(
        version=version,
        routes={route.database: route},
        groups={GROUP: GroupLimits(GROUP, 15)},
        transaction_idle_timeout_ms=idle_ms,
    )


def parse_position(text: str) -> LogPosition:
    """Return the log position that is written as ``term.number``."""
    term, _, number = text.partition('.')
    return LogPosition(int(term), int(number))


def build_record(
    member_id: str,
    *,
    is_leaving: bool = False,
    reports_primary: bool = False,
    port: int | None = None,
    born_ms: int | None = None,
) -> MemberRecord:
    """Build the registration of a member of the group.

    Parameters
    ----------
    port
        Each member has a port of its own by default, but for the one that
        takes the place of another one.
    """
    place = _PLACES.get(member_id, member_id)
    return MemberRecord(
        member_id=member_id,
        group=GROUP,
        ip='127.0.0.1',
        port=port or 1 + zlib.crc32(place.encode()) % _PORT_COUNT,
        data_centre=DATA_CENTRE,
        is_leaving=is_leaving,
        reports_primary=reports_primary,
        born_ms=born_ms,
    )


@final
@attrs.define
class GroupWorld:
    """A group of fake members with the services that route and fail over."""

    fakes: dict[str, FakeMember]
    directory: GroupDirectory
    group: Group
    probe: PrimaryProbe
    claims: FakeClaims
    promotions: FakePromotions
    registrations: FakeRegistrations
    failover: FailoverCoordinator
    services: SessionServices

    def build_failover(self, claims: ClaimPort) -> FailoverCoordinator:
        """Build the coordinator of a host with its own claims."""
        return _build_failover(
            claims,
            self.promotions,
            self.probe,
            self.directory,
            self.registrations,
        )

    def open_session(self) -> Session:
        """Open a session on the database of the group."""
        return Session(DATABASE, self.services)


def build_world(
    route: Route | None = None,
    idle_ms: float = 3000,
    relays: RelayFinder = _NO_RELAYS,
) -> GroupWorld:
    """Build a group with the primary ``p`` and the replicas ``a`` and ``b``."""
    fakes = {name: FakeMember(name) for name in ('p', 'a', 'b')}
    fakes['p'].is_primary = True
    directory = GroupDirectory(FakeDialer(fakes), boot_time_s)
    configuration = build_configuration(route or build_route(), idle_ms=idle_ms)
    directory.apply_limits(configuration)
    directory.apply_registrations(
        [build_record(name, reports_primary=name == 'p') for name in fakes]
    )
    directory.is_current = True
    directory.registrations_complete_from_s = 0
    directory.first_read_s = -math.inf
    record_all_witnesses(directory)
    trust_processes(directory)
    active = ActiveConfiguration()
    active.activate(configuration)
    probe = PrimaryProbe(boot_time_s, relays)
    claims = FakeClaims()
    promotions = FakePromotions(fakes)
    registrations = FakeRegistrations(
        list(fakes), functools.partial(_build_own_record, fakes)
    )
    return GroupWorld(
        fakes=fakes,
        directory=directory,
        group=directory.get_or_create(GROUP),
        probe=probe,
        claims=claims,
        promotions=promotions,
        registrations=registrations,
        failover=_build_failover(
            claims, promotions, probe, directory, registrations
        ),
        services=_build_services(active, directory, probe, relays),
    )


def trust_processes(directory: GroupDirectory) -> None:
    """Let this host be certain of the process of each member."""
    for member in directory.get_or_create(GROUP).members.values():
        member.load.identity.trust()
        member.load.identity.is_answer_certain = True


def record_all_witnesses(directory: GroupDirectory) -> None:
    """Let each member that is listed witness the commits of the group."""
    group = directory.get_or_create(GROUP)
    group.record = GroupRecord(
        witnesses=frozenset(
            member.record.process for member in group.members.values()
        )
    )


def _build_own_record(
    fakes: Mapping[str, FakeMember], name: str
) -> MemberRecord:
    """Build the registration of a member that reports its own role."""
    fake = fakes.get(name, FakeMember(name))
    return build_record(
        name, reports_primary=fake.is_primary, born_ms=fake.born_ms
    )


def _build_failover(
    claims: ClaimPort,
    promotions: FakePromotions,
    probe: PrimaryProbe,
    directory: GroupDirectory,
    registrations: FakeRegistrations,
) -> FailoverCoordinator:
    return FailoverCoordinator(
        claims,
        Promoter(promotions, probe, boot_time_s),
        GroupMembership(
            DepartureDetector(directory, DRAIN_S, boot_time_s),
            directory,
            RegistrationPoller(registrations, directory),
            boot_time_s,
        ),
        boot_time_s,
    )


def _build_services(
    active: ActiveConfiguration,
    directory: GroupDirectory,
    probe: PrimaryProbe,
    relays: RelayFinder,
) -> SessionServices:
    positions = ReadPositionFinder(probe, boot_time_s)
    selector = MemberSelector(DATA_CENTRE, boot_time_s)
    paths = PrimaryPathFinder(relays, boot_time_s, LEAVING_LIMIT_S)
    witnesses = CommitWitnesses(boot_time_s)
    writes = WriteRouter(paths, witnesses, boot_time_s)
    return SessionServices(
        configuration=active,
        directory=directory,
        reads=ReadRouter(positions, selector, relays, boot_time_s),
        routing=TransactionRouting(
            positions, selector, paths, writes, boot_time_s, witnesses
        ),
        limits=ServingLimits(boot_time_s),
    )


def with_replica_proof(world: GroupWorld) -> GroupWorld:
    """Return the world with services that do not trust a former primary."""
    proof = ReplicaProof()
    probe = PrimaryProbe(boot_time_s, _NO_RELAYS, proof)
    routing = attrs.evolve(
        world.services.routing,
        positions=ReadPositionFinder(probe, boot_time_s),
        proof=proof,
    )
    reads = ReadRouter(
        routing.positions, routing.member_selector, _NO_RELAYS, boot_time_s
    )
    services = attrs.evolve(world.services, reads=reads, routing=routing)
    return attrs.evolve(world, probe=probe, services=services)
