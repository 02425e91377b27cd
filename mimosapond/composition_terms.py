"""Connects the parts that own members and hold terms of groups."""

from typing import final

from mimosapond.age_trackers import AgeTrackers
from mimosapond.beacon_refresher import BeaconRefresher
from mimosapond.direct_members import DirectMembers
from mimosapond.direct_terms import DirectTerms
from mimosapond.group_keeper import GroupKeeper
from mimosapond.group_spec import GroupSpec
from mimosapond.group_supervisor import GroupSupervisor, SupervisedParts
from mimosapond.holder_installer import HolderInstaller
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.member_reader import MemberReader
from mimosapond.opinion_collector import OpinionCollector
from mimosapond.options import RoutingPolicy
from mimosapond.owner_registry import OwnerRegistry
from mimosapond.planned_switchover import PlannedSwitchover
from mimosapond.term_acquirer import TermAcquirer
from mimosapond.term_claim import TermClaims
from mimosapond.term_needs import TermNeeds
from mimosapond.term_parts import TermParts
from mimosapond.term_registry import TermRegistry


@final
class TermComposition:
    """Builds the parts in the order of their dependencies."""

    def __init__(self, needs: TermNeeds) -> None:
        """Build all parts; nothing runs yet."""
        self._needs = needs
        self._build_owner_side()
        self._build_terms()

    def _build_owner_side(self) -> None:
        self.owners = OwnerRegistry(
            self._needs.target,
            self._needs.options,
            self._needs.clock,
            self._needs.decisions,
            self._needs.metrics,
        )
        self.holders = TermRegistry()
        self.ages = AgeTrackers(self._needs.clock)
        self.reader = MemberReader(
            self.owners,
            self.holders.holder,
            self.ages,
            BeaconRefresher(self.ages, self._refresh),
            self._needs.clock,
            self._needs.decisions,
            self._needs.spread.leaving,
        )

    async def _refresh(self, group: str) -> None:
        await self.supervisor.refresh(group)

    def _build_terms(self) -> None:
        self.term_parts = TermParts(
            host_id=self._needs.host_id,
            options=self._needs.options,
            target=self._needs.target,
            clock=self._needs.clock,
            decisions=self._needs.decisions,
            metrics=self._needs.metrics,
        )
        self._build_direct()
        slots = self.direct_members or self.owners
        self.acquirer = TermAcquirer(
            self.term_parts,
            TermClaims(self.term_parts, self._needs.platform),
            self._needs.views,
            HolderInstaller(self.term_parts, slots, self.holders),
            self._needs.spread.leaving,
        )
        self.planned = PlannedSwitchover(
            self.term_parts,
            self.acquirer,
            self.holders,
            self._needs.spread.leaving,
        )
        self.supervisor = GroupSupervisor(
            SupervisedParts(
                store=self._needs.spread.store,
                membership=self._needs.spread.membership,
                placement=self._needs.spread.placement,
                owners=self.owners,
                holders=self.holders,
                clock=self._needs.clock,
                build_keeper=self._build_keeper,
            ),
        )

    def _build_direct(self) -> None:
        self.direct_members: DirectMembers | None = None
        self.direct_terms: DirectTerms | None = None
        if self._needs.options.routing_policy is not RoutingPolicy.DIRECT:
            return
        self.direct_members = DirectMembers(
            self._needs.spread.store,
            self._needs.target,
            self._needs.options,
            self._needs.clock,
        )
        self.direct_terms = DirectTerms(
            self.term_parts,
            self._needs.spread.store,
            self._needs.views,
            self.direct_members,
            self.ages,
        )

    def _build_keeper(self, group: GroupSpec) -> GroupKeeper:
        ports = KeeperPorts(
            views=self._needs.views,
            registry=self.holders,
            acquirer=self.acquirer,
            opinions=OpinionCollector(
                self.term_parts,
                self._needs.peers,
                self._needs.spread.placement,
            ),
            peers=self._needs.peers,
            hosts=self._needs.spread.membership,
            placement=self._needs.spread.placement,
            ages=self.ages.tracker(group.name),
            degraded=self._needs.degraded,
            planned=self.planned,
            jitter=self._needs.random_source,
        )
        return GroupKeeper(self.term_parts, ports, group)
