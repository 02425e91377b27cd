"""Builds and connects the parts that own members and hold terms."""

from typing import final

from mimosapond.age_trackers import AgeTrackers
from mimosapond.beacon_refresher import BeaconRefresher
from mimosapond.direct_pools import DirectPools
from mimosapond.direct_terms import DirectTerms
from mimosapond.group_keeper import GroupKeeper
from mimosapond.group_spec import GroupSpec
from mimosapond.group_supervisor import GroupSupervisor, SupervisorParts
from mimosapond.holder_installer import HolderInstaller
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.member_reader import MemberReader
from mimosapond.opinion_collector import OpinionCollector
from mimosapond.options import RoutingPolicy
from mimosapond.owner_registry import OwnerRegistry
from mimosapond.planned_switchover import PlannedSwitchover
from mimosapond.term_acquirer import TermAcquirer
from mimosapond.term_claim import TermClaims
from mimosapond.term_dependencies import TermDependencies
from mimosapond.term_parts import TermParts
from mimosapond.term_registry import TermRegistry


@final
class TermComposition:
    """Parts of this host that own members and hold terms of groups."""

    def __init__(self, dependencies: TermDependencies) -> None:
        """Build all parts in the order of their dependencies; start nothing."""
        self._dependencies = dependencies
        self._build_owners()
        self._build_terms()

    def _build_owners(self) -> None:
        self.owners = OwnerRegistry(
            self._dependencies.target,
            self._dependencies.options,
            self._dependencies.clock,
            self._dependencies.decisions,
            self._dependencies.metrics,
        )
        self.holders = TermRegistry()
        self.ages = AgeTrackers(self._dependencies.clock)
        self.reader = MemberReader(
            self.owners,
            self.holders.holder,
            self.ages,
            BeaconRefresher(self.ages, self._refresh),
            self._dependencies.clock,
            self._dependencies.decisions,
            self._dependencies.cluster.leaving,
        )

    async def _refresh(self, group: str) -> None:
        await self.supervisor.refresh(group)

    def _build_terms(self) -> None:
        self.term_parts = TermParts(
            host_id=self._dependencies.host_id,
            options=self._dependencies.options,
            target=self._dependencies.target,
            clock=self._dependencies.clock,
            decisions=self._dependencies.decisions,
            metrics=self._dependencies.metrics,
        )
        self._build_direct()
        slots = self.direct_pools or self.owners
        self.acquirer = TermAcquirer(
            self.term_parts,
            TermClaims(self.term_parts, self._dependencies.platform),
            self._dependencies.views,
            HolderInstaller(self.term_parts, slots, self.holders),
            self._dependencies.cluster.leaving,
        )
        self.switchover = PlannedSwitchover(
            self.term_parts,
            self.acquirer,
            self.holders,
            self._dependencies.cluster.leaving,
        )
        self.supervisor = GroupSupervisor(
            SupervisorParts(
                store=self._dependencies.cluster.store,
                membership=self._dependencies.cluster.membership,
                placement=self._dependencies.cluster.placement,
                owners=self.owners,
                holders=self.holders,
                clock=self._dependencies.clock,
                build_keeper=self._build_keeper,
            ),
        )

    def _build_direct(self) -> None:
        self.direct_pools: DirectPools | None = None
        self.direct_terms: DirectTerms | None = None
        if (
            self._dependencies.options.routing_policy
            is not RoutingPolicy.DIRECT
        ):
            return
        self.direct_pools = DirectPools(
            self._dependencies.cluster.store,
            self._dependencies.target,
            self._dependencies.options,
            self._dependencies.clock,
        )
        self.direct_terms = DirectTerms(
            self.term_parts,
            self._dependencies.cluster.store,
            self._dependencies.views,
            self.direct_pools,
            self.ages,
        )

    def _build_keeper(self, group: GroupSpec) -> GroupKeeper:
        ports = KeeperPorts(
            views=self._dependencies.views,
            registry=self.holders,
            acquirer=self.acquirer,
            opinions=OpinionCollector(
                self.term_parts,
                self._dependencies.peers,
                self._dependencies.cluster.placement,
            ),
            peers=self._dependencies.peers,
            hosts=self._dependencies.cluster.membership,
            placement=self._dependencies.cluster.placement,
            ages=self.ages.tracker(group.name),
            degraded=self._dependencies.degraded,
            switchover=self.switchover,
            jitter=self._dependencies.random_source,
        )
        return GroupKeeper(self.term_parts, ports, group)
