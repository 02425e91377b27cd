"""Injects the faults of a schedule into a running deployment."""

import asyncio
import collections
import signal
from collections.abc import Awaitable, Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Final, TypeAlias, final

from loguru import logger

from soak.deployment import SoakDeployment
from soak.disruption_log import DisruptionLog
from soak.fault import Fault, FaultKind
from soak.http_json import get_json, post_json
from soak.layout import LOOPBACK, HostLayout, link_name
from soak.member_targets import find_targets
from soak.operator import Operator

_Handler: TypeAlias = Callable[[Fault], Awaitable[None]]

_SILENT: Final = 'silent'
_PLANNED_MANNERS: Final = frozenset(('drain', 'replace'))
_PLANNED_KINDS: Final = frozenset(
    (FaultKind.restart, FaultKind.reload, FaultKind.configure)
)
_STAND_IN_KINDS: Final = frozenset(
    (
        FaultKind.store,
        FaultKind.promotion,
        FaultKind.lose_registrations,
        FaultKind.member,
    )
)
_DROP: Final = 'drop_targets'
# Time without contact to the other end after which a connection is dropped.
_DROP_AFTER_S: Final = 3.0
# Time between the leave of a member and the start of a new member at the same
# address.
_REPLACE_AFTER_S: Final = 0.5
_CUTS: Final[Mapping[str, tuple[str, ...]]] = MappingProxyType(
    {'both': ('cut_to_target', 'cut_to_client')},
)


@final
class FaultDriver:
    """Injects each fault in a task of its own, so that faults can overlap."""

    def __init__(
        self,
        deployment: SoakDeployment,
        operator: Operator,
        disruptions: DisruptionLog,
    ) -> None:
        """Create a driver for the processes of ``deployment``.

        Parameters
        ----------
        disruptions
            Receives what is planned work and what is a disruption.
        """
        self._disruptions = disruptions
        self._deployment = deployment
        self._operator = operator
        self._layout = deployment.layout
        # Number of active cuts by link and by field of the fault proxy.
        self._cut_counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._handlers: Mapping[FaultKind, _Handler] = {
            FaultKind.restart: self._restart,
            FaultKind.kill: self._kill,
            FaultKind.kill_all: self._kill,
            FaultKind.freeze: self._freeze,
            FaultKind.reload: self._reload,
            FaultKind.configure: self._configure,
            FaultKind.store: self._inject_store_fault,
            FaultKind.promotion: self._inject_promotion_fault,
            FaultKind.lose_registrations: self._lose_registrations,
            FaultKind.member: self._inject_member_fault,
            FaultKind.cut: self._cut,
            FaultKind.peer_cut: self._cut_peers,
        }

    async def run(self, faults: Iterable[Fault]) -> None:
        """Inject each fault at its start time and wait until all have ended."""
        started_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                now_s = asyncio.get_running_loop().time()
                await asyncio.sleep(started_s + fault.at_s - now_s)
                logger.info('{}', fault)
                tasks.create_task(self._apply(fault))

    async def _apply(self, fault: Fault) -> None:
        if fault.kind in _PLANNED_KINDS or fault.manner in _PLANNED_MANNERS:
            await self._handlers[fault.kind](fault)
            return
        with self._disruptions.disruption():
            await self._handlers[fault.kind](fault)
            # Requests to stand-ins return before the fault has ended.
            if fault.kind in _STAND_IN_KINDS:
                await asyncio.sleep(fault.for_s)

    def _hosts(self, fault: Fault) -> list[HostLayout]:
        """Return the target hosts of a fault that are running."""
        hosts = [self._layout.hosts[number] for number in fault.hosts]
        return [host for host in hosts if self._deployment.is_running(host)]

    async def _restart(self, fault: Fault) -> None:
        for host in self._hosts(fault):
            self._disruptions.note_stop(host.name)
            await self._stop_and_start(host, fault.for_s, is_graceful=True)

    async def _kill(self, fault: Fault) -> None:
        async with asyncio.TaskGroup() as tasks:
            for host in self._hosts(fault):
                tasks.create_task(
                    self._stop_and_start(host, fault.for_s, is_graceful=False)
                )

    async def _stop_and_start(
        self, host: HostLayout, down_s: float, *, is_graceful: bool
    ) -> None:
        await self._deployment.stop_host(host, is_graceful=is_graceful)
        await asyncio.sleep(down_s)
        await self._deployment.start_host(host)

    async def _freeze(self, fault: Fault) -> None:
        children = [self._deployment.child(host) for host in self._hosts(fault)]
        for child in children:
            child.pause()
        await asyncio.sleep(fault.for_s)
        for child in children:
            child.resume()

    async def _reload(self, fault: Fault) -> None:
        for host in self._hosts(fault):
            self._disruptions.note_reload(host.name)
            self._deployment.child(host).send_signal(signal.SIGHUP)

    async def _configure(self, _fault: Fault) -> None:
        self._disruptions.note_change()
        await self._operator.write_next()

    async def _inject_store_fault(self, fault: Fault) -> None:
        await self._inject_service_fault(
            f'{self._layout.store_url}/standin/fault', fault
        )

    async def _inject_promotion_fault(self, fault: Fault) -> None:
        url = f'{self._layout.promotion_url}/standin/fault'
        await self._inject_service_fault(url, fault)

    async def _inject_service_fault(self, url: str, fault: Fault) -> None:
        # All hosts are listed, because a fault without hosts would also affect
        # the calls of this driver.
        numbers = fault.hosts or range(len(self._layout.hosts))
        ips = [self._layout.hosts[number].ip for number in numbers]
        body = {
            'kind': fault.manner,
            'for_s': fault.for_s,
            'hosts': ips,
            'late_s': fault.delay_s,
        }
        await post_json(url, body)

    async def _lose_registrations(self, _fault: Fault) -> None:
        """Delete all registrations; the members then register again."""
        store_url = self._layout.store_url
        found = await get_json(f'{store_url}/api/rows-get?table=servers')
        for row in found['rows']:
            body = {'table': 'servers', 'key': row['key'], 'value': None}
            await post_json(f'{store_url}/standin/rows-put', body)

    async def _inject_member_fault(self, fault: Fault) -> None:
        for target in await find_targets(self._layout, fault.members):
            logger.info('{} {} at {}', fault.manner, fault.for_s, target)
            body = {
                'kind': fault.manner,
                'member_id': target.member_id,
                'for_s': fault.for_s,
                'ratio': fault.ratio,
                'replace_after_s': _REPLACE_AFTER_S,
                'overlap_s': fault.delay_s,
            }
            await post_json(f'{target.control_url}/fault', body)

    async def _cut(self, fault: Fault) -> None:
        targets = await find_targets(self._layout, fault.members)
        await self._cut_links(fault, [target.port for target in targets])

    async def _cut_peers(self, fault: Fault) -> None:
        ports = [self._layout.hosts[host].link_port for host in fault.hosts]
        await self._cut_links(fault, ports)

    async def _cut_links(self, fault: Fault, ports: list[int]) -> None:
        hosts = [self._layout.hosts[number] for number in fault.hosts]
        names = [link_name(host, port) for host in hosts for port in ports]
        if fault.manner == _SILENT:
            await self._set_links(names, {_SILENT: True})
            await asyncio.sleep(_DROP_AFTER_S)
            await self._set_links(names, {_DROP: True})
            return
        fields = _CUTS.get(fault.manner, (fault.manner,))
        await self._adjust_cuts(names, fields, 1)
        await asyncio.sleep(min(fault.for_s, _DROP_AFTER_S))
        if fault.for_s > _DROP_AFTER_S:
            await self._set_links(names, {_DROP: True})
            await asyncio.sleep(fault.for_s - _DROP_AFTER_S)
        await self._adjust_cuts(names, fields, -1)

    async def _adjust_cuts(
        self, names: list[str], fields: tuple[str, ...], change: int
    ) -> None:
        """Add ``change`` to the cut counts of links and update the proxy.

        Cuts of one link may overlap, so a link is restored when its count is 0.
        """
        for name in names:
            for field in fields:
                self._cut_counts[(name, field)] += change
        for link in names:
            states = {
                effect: self._cut_counts[(link, effect)] > 0
                for effect in fields
            }
            await self._set_links([link], states)

    async def _set_links(
        self, names: list[str], changes: Mapping[str, bool]
    ) -> None:
        url = f'http://{LOOPBACK}:{self._layout.proxy_port}/faults'
        await post_json(url, {'names': names, **changes})
