"""Injects faults into a running deployment, singly or concurrently."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final, TypeAlias, final

import aiohttp

from loadtool.deployed_host import DeployedHost
from loadtool.deployment import Deployment
from loadtool.proof_fault import FaultKind, InjectedFault
from loadtool.link_fault_injector import LinkFaultInjector
from loadtool.deployment_observer import DeploymentObserver
from loadtool.operator_simulator import OperatorSimulator
from loadtool.process_fault_injector import ProcessFaultInjector
from mimosapond.group_spec import GroupSpec

_INJECTED_LAG_MS: Final = 1500
_NORMAL_LAG_MS: Final = 20
_PLATFORM_DELAY_MS: Final = 700
_LOST_ANSWER_COUNT: Final = 3
_MEAN_RACE_DELAY_S: Final = 0.4
_DRAIN_TIME_S: Final = 5
_NO_ANSWER: Final = 'silent'
_PLATFORM_FAULTS: Final[Mapping[FaultKind, Mapping[str, Any]]] = (
    MappingProxyType(
        {
            FaultKind.PLATFORM_DOWN: {'down': True},
            FaultKind.PLATFORM_SLOW: {'slow_ms': _PLATFORM_DELAY_MS},
            FaultKind.PLATFORM_LOSES: {'lose_answers': _LOST_ANSWER_COUNT},
        }
    )
)
_HEALTHY_PLATFORM: Final[Mapping[str, Any]] = MappingProxyType(
    {'down': False, 'silent': False, 'slow_ms': 0, 'lose_answers': 0}
)
# Subject of the fault, and whether the fault was observed to be in effect.
_Injection: TypeAlias = tuple[str, bool]


@final
class FaultInjector:
    """Selects the subject of a fault, injects the fault and removes it."""

    def __init__(
        self,
        deployment: Deployment,
        observer: DeploymentObserver,
        processes: ProcessFaultInjector,
        operators: OperatorSimulator,
        randomness: random.Random,
    ) -> None:
        """Inject faults into a deployment that runs behind the fault proxy."""
        self._deployment = deployment
        self._observer = observer
        self._processes = processes
        self._operators = operators
        self._random = randomness
        self._links = LinkFaultInjector(deployment)
        self._reserved_hosts: set[str] = set()
        self._groups_with_killed_member: set[str] = set()
        self._actions: Mapping[
            FaultKind, Callable[..., Awaitable[_Injection]]
        ] = {
            FaultKind.KILL_HOST: self._kill_host,
            FaultKind.KILL_HOLDER: self._kill_holder,
            FaultKind.STOP_HOST: self._stop_host,
            FaultKind.PAUSE_HOST: self._pause_host,
            FaultKind.PAUSE_HOLDER: self._pause_holder,
            FaultKind.PAUSE_PRIMARY: self._pause_primary,
            FaultKind.KILL_PRIMARY: self._kill_primary,
            FaultKind.CUT_PRIMARY: self._cut_primary,
            FaultKind.CUT_REPLICATION: self._cut_replication,
            FaultKind.CUT_ANSWERS: self._cut_answers,
            FaultKind.CUT_CENTRE: self._cut_centre,
            FaultKind.CUT_HOST: self._cut_host,
            FaultKind.RESET_LINKS: self._reset_links,
            FaultKind.SILENT_LINKS: self._silence_links,
            FaultKind.LAG: self._lag,
            FaultKind.PAUSE_SHIPPING: self._pause_shipping,
            FaultKind.PROMOTE: self._promote,
            FaultKind.PROMOTE_RACE: self._race_promotions,
            FaultKind.EDIT_RACE: self._race_edits,
            FaultKind.DRAIN_TARGET: self._drain,
        }

    async def inject(
        self,
        kind: FaultKind,
        hold_s: float,
        *,
        is_only_fault: bool,
    ) -> InjectedFault:
        """Inject a fault and remove it after a hold time.

        Parameters
        ----------
        kind
            Fault to inject; its subject is selected at random.
        hold_s
            Time during which the fault stays in effect.
        is_only_fault
            Whether no other fault is injected at the same time. Some effects
            can only be checked then.
        """
        begin_s = time.monotonic()
        if kind in _PLATFORM_FAULTS:
            subject, has_taken = await self._fail_platform(kind, hold_s)
        else:
            action = self._actions[kind]
            subject, has_taken = await action(hold_s, is_only_fault)
        return InjectedFault(
            kind,
            subject,
            begin_s,
            time.monotonic(),
            has_taken,
        )

    async def remove_faults(self) -> None:
        """Remove all faults that may still be in effect."""
        self._processes.resume_all()
        await self._links.remove_all()
        await self._deployment.set_platform_faults(**_HEALTHY_PLATFORM)
        for group in self._deployment.groups:
            for member in group.members:
                if self._processes.is_running(member.name):
                    await self._set_lag(member.name, _NORMAL_LAG_MS)

    async def _kill_host(self, hold_s: float, _is_only: bool) -> _Injection:
        with self._reserved(self._random_host()) as host:
            return host.name, await self._processes.kill_host(host, hold_s)

    async def _kill_holder(self, hold_s: float, _is_only: bool) -> _Injection:
        with self._reserved(self._random_holder()) as host:
            return host.name, await self._processes.kill_host(host, hold_s)

    async def _stop_host(
        self, hold_s: float, is_only_fault: bool
    ) -> _Injection:
        with self._reserved(self._random_host()) as host:
            has_taken = await self._processes.stop_host(
                host,
                hold_s,
                is_only_fault=is_only_fault,
            )
            return host.name, has_taken

    async def _pause_host(self, hold_s: float, _is_only: bool) -> _Injection:
        with self._reserved(self._random_host()) as host:
            return host.name, await self._processes.pause(host.name, hold_s)

    async def _pause_holder(self, hold_s: float, _is_only: bool) -> _Injection:
        with self._reserved(self._random_holder()) as host:
            return host.name, await self._processes.pause(host.name, hold_s)

    async def _pause_primary(self, hold_s: float, _is_only: bool) -> _Injection:
        name = self._primary_or_replica(self._random_group())
        return name, await self._processes.pause(name, hold_s)

    async def _kill_primary(self, hold_s: float, _is_only: bool) -> _Injection:
        """Kill a primary permanently, or pause it.

        It is paused if a member of its group was killed before, so that the
        group keeps a majority.
        """
        group = self._random_group()
        name = self._primary_or_replica(group)
        if group.name in self._groups_with_killed_member:
            return name, await self._processes.pause(name, hold_s)
        self._groups_with_killed_member.add(group.name)
        has_taken = await self._processes.kill_member(name)
        await asyncio.sleep(hold_s)
        return name, has_taken

    async def _cut_primary(self, hold_s: float, _is_only: bool) -> _Injection:
        name = self._primary_or_replica(self._random_group())
        return await self._cut(name, self._links.links_of(name), hold_s)

    async def _cut_replication(
        self, hold_s: float, _is_only: bool
    ) -> _Injection:
        """Cut the links between the primary and the other members."""
        group = self._random_group()
        name = self._primary_or_replica(group)
        others = {one.name for one in group.members} - {name}
        return await self._cut(
            name,
            self._links.links_between(name, others),
            hold_s,
        )

    async def _cut_answers(self, hold_s: float, _is_only: bool) -> _Injection:
        """Block the answers of the primary while requests still reach it."""
        name = self._primary_or_replica(self._random_group())
        names = self._links.links_of(name)
        return name, await self._links.inject(
            names,
            hold_s,
            cut_to_client=True,
        )

    async def _cut_centre(self, hold_s: float, _is_only: bool) -> _Injection:
        centre = self._random.choice(self._deployment.spec.data_centres)
        return await self._cut(
            centre, self._links.links_leaving(centre), hold_s
        )

    async def _cut_host(self, hold_s: float, _is_only: bool) -> _Injection:
        name = self._random_host().name
        return await self._cut(name, self._links.links_of(name), hold_s)

    async def _reset_links(self, hold_s: float, _is_only: bool) -> _Injection:
        name = self._primary_or_replica(self._random_group())
        names = self._links.links_of(name)
        return name, await self._links.inject(names, hold_s / 10, cut=True)

    async def _silence_links(self, hold_s: float, _is_only: bool) -> _Injection:
        group = self._random_group()
        name = self._random.choice(
            (self._primary_or_replica(group), self._observer.holder(group)),
        )
        count = await self._links.silence(self._links.links_of(name))
        await asyncio.sleep(hold_s)
        return f'{name}, {count} connections', count > 0

    async def _lag(self, hold_s: float, _is_only: bool) -> _Injection:
        """Delay the entries that the primary ships to the replicas."""
        name = self._primary_or_replica(self._random_group())
        has_taken = await self._set_lag(name, _INJECTED_LAG_MS)
        try:
            await asyncio.sleep(hold_s)
        finally:
            await self._set_lag(name, _NORMAL_LAG_MS)
        return name, has_taken

    async def _pause_shipping(
        self, hold_s: float, _is_only: bool
    ) -> _Injection:
        name = self._primary_or_replica(self._random_group())
        has_taken = await self._set_member(name, ship_paused=True)
        try:
            await asyncio.sleep(hold_s)
        finally:
            await self._set_member(name, ship_paused=False)
        return name, has_taken

    async def _fail_platform(
        self, kind: FaultKind, hold_s: float
    ) -> _Injection:
        await self._deployment.set_platform_faults(**_PLATFORM_FAULTS[kind])
        try:
            await asyncio.sleep(hold_s)
        finally:
            await self._deployment.set_platform_faults(**_HEALTHY_PLATFORM)
        return 'platform', True

    async def _promote(self, hold_s: float, _is_only: bool) -> _Injection:
        group = self._random_group()
        member = self._running_replica(group)
        outcome = await self._operators.promote(group, member)
        await asyncio.sleep(hold_s)
        return f'{member}, {outcome}', outcome != _NO_ANSWER

    async def _race_promotions(
        self, hold_s: float, _is_only: bool
    ) -> _Injection:
        """Promote twice while the hosts replace a primary that is cut off."""
        group = self._random_group()
        name = self._primary_or_replica(group)
        cut = asyncio.create_task(
            self._cut(name, self._links.links_of(name), hold_s),
        )
        try:
            await asyncio.sleep(self._random.uniform(0, _MEAN_RACE_DELAY_S) * 2)
            outcomes = await asyncio.gather(
                self._operators.promote(group, self._running_replica(group)),
                self._operators.promote(group, self._running_replica(group)),
            )
        finally:
            subject, has_taken = await cut
        return f'{subject}, {" ".join(outcomes)}', has_taken

    async def _race_edits(
        self, hold_s: float, is_only_fault: bool
    ) -> _Injection:
        hosts = tuple(self._random.sample(self._deployment.hosts, 2))
        outcomes = await self._operators.race_edits(
            hosts, is_only_fault=is_only_fault
        )
        await asyncio.sleep(hold_s / 10)
        return outcomes, not is_only_fault or 'completed' in outcomes

    async def _drain(self, _hold_s: float, _is_only: bool) -> _Injection:
        member = self._running_replica(self._random_group())
        outcome = await self._operators.drain(member, _DRAIN_TIME_S)
        return f'{member}, {outcome}', outcome == 'completed'

    async def _cut(
        self, name: str, links: list[str], hold_s: float
    ) -> _Injection:
        return name, await self._links.inject(
            links,
            hold_s,
            cut_to_target=True,
            cut_to_client=True,
        )

    async def _set_lag(self, name: str, lag_ms: int) -> bool:
        return await self._set_member(name, lag_ms=lag_ms, ship_paused=False)

    async def _set_member(self, name: str, **settings: Any) -> bool:
        # A concurrent fault may have killed the member.
        try:
            await self._deployment.set_member_settings(name, **settings)
        except aiohttp.ClientError:
            return False
        return True

    def _random_group(self) -> GroupSpec:
        return self._random.choice(self._deployment.groups)

    def _primary_or_replica(self, group: GroupSpec) -> str:
        """Return the primary, or another running member if it was killed."""
        name = self._observer.primary(group)
        if self._processes.is_running(name):
            return name
        return self._running_replica(group)

    def _running_replica(self, group: GroupSpec) -> str:
        primary = self._observer.primary(group)
        return self._random.choice(
            [
                member.name
                for member in group.members
                if member.name != primary
                and self._processes.is_running(member.name)
            ],
        )

    def _random_host(self) -> DeployedHost:
        return self._random.choice(
            [
                host
                for host in self._deployment.hosts
                if host.name not in self._reserved_hosts
            ],
        )

    def _random_holder(self) -> DeployedHost:
        name = self._observer.holder(self._random_group())
        for host in self._deployment.hosts:
            if host.name == name and name not in self._reserved_hosts:
                return host
        return self._random_host()

    @contextlib.contextmanager
    def _reserved(self, host: DeployedHost) -> Iterator[DeployedHost]:
        self._reserved_hosts.add(host.name)
        try:
            yield host
        finally:
            self._reserved_hosts.discard(host.name)
