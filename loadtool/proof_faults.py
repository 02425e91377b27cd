"""Applies faults to a running deployment, alone or in pairs."""

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
from loadtool.proof_fault import FaultKind, MetFault
from loadtool.proof_links import ProofLinks
from loadtool.proof_observer import ProofObserver
from loadtool.proof_operators import ProofOperators
from loadtool.proof_processes import ProofProcesses
from mimosapond.group_spec import GroupSpec

_LONG_LAG_MS: Final = 1500
_USUAL_LAG_MS: Final = 20
_SLOW_MS: Final = 700
_LOST_ANSWER_COUNT: Final = 3
_RACE_DELAY_S: Final = 0.4
_DRAIN_S: Final = 5
_SILENT: Final = 'silent'
_PLATFORM_FAULTS: Final[Mapping[FaultKind, Mapping[str, Any]]] = (
    MappingProxyType(
        {
            FaultKind.PLATFORM_DOWN: {'down': True},
            FaultKind.PLATFORM_SLOW: {'slow_ms': _SLOW_MS},
            FaultKind.PLATFORM_LOSES: {'lose_answers': _LOST_ANSWER_COUNT},
        }
    )
)
_HEALTHY_PLATFORM: Final[Mapping[str, Any]] = MappingProxyType(
    {'down': False, 'silent': False, 'slow_ms': 0, 'lose_answers': 0}
)
# What was hit and whether it was seen in force.
_Met: TypeAlias = tuple[str, bool]


@final
class ProofFaults:
    """Each fault is chosen, applied, held and healed by one call."""

    def __init__(
        self,
        deployment: Deployment,
        observer: ProofObserver,
        processes: ProofProcesses,
        operators: ProofOperators,
        randomness: random.Random,
    ) -> None:
        """Hit a deployment that was started with the proxy."""
        self._deployment = deployment
        self._observer = observer
        self._processes = processes
        self._operators = operators
        self._random = randomness
        self._links = ProofLinks(deployment)
        self._busy: set[str] = set()
        self._maimed: set[str] = set()
        self._actions: Mapping[FaultKind, Callable[..., Awaitable[_Met]]] = {
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

    async def meet(
        self,
        kind: FaultKind,
        hold_s: float,
        *,
        is_alone: bool,
    ) -> MetFault:
        """Apply one fault, hold it for ``hold_s`` and heal it."""
        begin_s = time.monotonic()
        if kind in _PLATFORM_FAULTS:
            subject, has_taken = await self._fail_platform(kind, hold_s)
        else:
            action = self._actions[kind]
            subject, has_taken = await action(hold_s, is_alone)
        return MetFault(
            kind,
            subject,
            begin_s,
            time.monotonic(),
            has_taken,
        )

    async def heal(self) -> None:
        """End all faults that may be left."""
        self._processes.resume_all()
        await self._links.heal_all()
        await self._deployment.set_platform_faults(**_HEALTHY_PLATFORM)
        for group in self._deployment.groups:
            for member in group.members:
                if self._processes.is_running(member.name):
                    await self._set_lag(member.name, _USUAL_LAG_MS)

    async def _kill_host(self, hold_s: float, _alone: bool) -> _Met:
        with self._reserved(self._any_host()) as host:
            return host.name, await self._processes.kill_host(host, hold_s)

    async def _kill_holder(self, hold_s: float, _alone: bool) -> _Met:
        with self._reserved(self._holder()) as host:
            return host.name, await self._processes.kill_host(host, hold_s)

    async def _stop_host(self, hold_s: float, is_alone: bool) -> _Met:
        with self._reserved(self._any_host()) as host:
            has_taken = await self._processes.stop_host(
                host,
                hold_s,
                is_alone=is_alone,
            )
            return host.name, has_taken

    async def _pause_host(self, hold_s: float, _alone: bool) -> _Met:
        with self._reserved(self._any_host()) as host:
            return host.name, await self._processes.pause(host.name, hold_s)

    async def _pause_holder(self, hold_s: float, _alone: bool) -> _Met:
        with self._reserved(self._holder()) as host:
            return host.name, await self._processes.pause(host.name, hold_s)

    async def _pause_primary(self, hold_s: float, _alone: bool) -> _Met:
        name = self._primary(self._group())
        return name, await self._processes.pause(name, hold_s)

    async def _kill_primary(self, hold_s: float, _alone: bool) -> _Met:
        """Kill for good; a second time in a group it is paused instead."""
        group = self._group()
        name = self._primary(group)
        if group.name in self._maimed:
            return name, await self._processes.pause(name, hold_s)
        self._maimed.add(group.name)
        has_taken = await self._processes.kill_member(name)
        await asyncio.sleep(hold_s)
        return name, has_taken

    async def _cut_primary(self, hold_s: float, _alone: bool) -> _Met:
        name = self._primary(self._group())
        return await self._cut(name, self._links.touching(name), hold_s)

    async def _cut_replication(self, hold_s: float, _alone: bool) -> _Met:
        """Cut the primary from the other members only."""
        group = self._group()
        name = self._primary(group)
        others = {one.name for one in group.members} - {name}
        return await self._cut(
            name,
            self._links.between(name, others),
            hold_s,
        )

    async def _cut_answers(self, hold_s: float, _alone: bool) -> _Met:
        """Let requests reach the primary, but hold its answers back."""
        name = self._primary(self._group())
        names = self._links.touching(name)
        return name, await self._links.hold(
            names,
            hold_s,
            cut_to_client=True,
        )

    async def _cut_centre(self, hold_s: float, _alone: bool) -> _Met:
        centre = self._random.choice(self._deployment.spec.data_centres)
        return await self._cut(centre, self._links.leaving(centre), hold_s)

    async def _cut_host(self, hold_s: float, _alone: bool) -> _Met:
        name = self._any_host().name
        return await self._cut(name, self._links.touching(name), hold_s)

    async def _reset_links(self, hold_s: float, _alone: bool) -> _Met:
        name = self._primary(self._group())
        names = self._links.touching(name)
        return name, await self._links.hold(names, hold_s / 10, cut=True)

    async def _silence_links(self, hold_s: float, _alone: bool) -> _Met:
        group = self._group()
        name = self._random.choice(
            (self._primary(group), self._observer.holder(group)),
        )
        count = await self._links.silence(self._links.touching(name))
        await asyncio.sleep(hold_s)
        return f'{name}, {count} connections', count > 0

    async def _lag(self, hold_s: float, _alone: bool) -> _Met:
        """Replicas get entries late from a member that ships late."""
        name = self._primary(self._group())
        has_taken = await self._set_lag(name, _LONG_LAG_MS)
        try:
            await asyncio.sleep(hold_s)
        finally:
            await self._set_lag(name, _USUAL_LAG_MS)
        return name, has_taken

    async def _pause_shipping(self, hold_s: float, _alone: bool) -> _Met:
        name = self._primary(self._group())
        has_taken = await self._set_member(name, ship_paused=True)
        try:
            await asyncio.sleep(hold_s)
        finally:
            await self._set_member(name, ship_paused=False)
        return name, has_taken

    async def _fail_platform(self, kind: FaultKind, hold_s: float) -> _Met:
        await self._deployment.set_platform_faults(**_PLATFORM_FAULTS[kind])
        try:
            await asyncio.sleep(hold_s)
        finally:
            await self._deployment.set_platform_faults(**_HEALTHY_PLATFORM)
        return 'platform', True

    async def _promote(self, hold_s: float, _alone: bool) -> _Met:
        group = self._group()
        member = self._other_member(group)
        word = await self._operators.promote(group, member)
        await asyncio.sleep(hold_s)
        return f'{member}, {word}', word != _SILENT

    async def _race_promotions(self, hold_s: float, _alone: bool) -> _Met:
        """Two operators promote while the hosts replace a cut primary."""
        group = self._group()
        name = self._primary(group)
        cut = asyncio.create_task(
            self._cut(name, self._links.touching(name), hold_s),
        )
        try:
            await asyncio.sleep(self._random.uniform(0, _RACE_DELAY_S) * 2)
            words = await asyncio.gather(
                self._operators.promote(group, self._other_member(group)),
                self._operators.promote(group, self._other_member(group)),
            )
        finally:
            subject, has_taken = await cut
        return f'{subject}, {" ".join(words)}', has_taken

    async def _race_edits(self, hold_s: float, is_alone: bool) -> _Met:
        hosts = tuple(self._random.sample(self._deployment.hosts, 2))
        words = await self._operators.race_edits(hosts, is_alone=is_alone)
        await asyncio.sleep(hold_s / 10)
        return words, not is_alone or 'completed' in words

    async def _drain(self, _hold_s: float, _alone: bool) -> _Met:
        member = self._other_member(self._group())
        word = await self._operators.drain(member, _DRAIN_S)
        return f'{member}, {word}', word == 'completed'

    async def _cut(self, name: str, links: list[str], hold_s: float) -> _Met:
        return name, await self._links.hold(
            links,
            hold_s,
            cut_to_target=True,
            cut_to_client=True,
        )

    async def _set_lag(self, name: str, lag_ms: int) -> bool:
        return await self._set_member(name, lag_ms=lag_ms, ship_paused=False)

    async def _set_member(self, name: str, **settings: Any) -> bool:
        # A fault that runs at the same time may have killed the member.
        try:
            await self._deployment.set_member_settings(name, **settings)
        except aiohttp.ClientError:
            return False
        return True

    def _group(self) -> GroupSpec:
        return self._random.choice(self._deployment.groups)

    def _primary(self, group: GroupSpec) -> str:
        """Return the primary, or a running member when it was killed."""
        name = self._observer.primary(group)
        if self._processes.is_running(name):
            return name
        return self._other_member(group)

    def _other_member(self, group: GroupSpec) -> str:
        primary = self._observer.primary(group)
        return self._random.choice(
            [
                member.name
                for member in group.members
                if member.name != primary
                and self._processes.is_running(member.name)
            ],
        )

    def _any_host(self) -> DeployedHost:
        return self._random.choice(
            [
                host
                for host in self._deployment.hosts
                if host.name not in self._busy
            ],
        )

    def _holder(self) -> DeployedHost:
        name = self._observer.holder(self._group())
        for host in self._deployment.hosts:
            if host.name == name and name not in self._busy:
                return host
        return self._any_host()

    @contextlib.contextmanager
    def _reserved(self, host: DeployedHost) -> Iterator[DeployedHost]:
        self._busy.add(host.name)
        try:
            yield host
        finally:
            self._busy.discard(host.name)
