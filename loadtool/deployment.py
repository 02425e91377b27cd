"""Starts a deployment as separate processes on loopback."""

import asyncio
import itertools
import json
import pathlib
from collections.abc import Mapping
from typing import Any, Final, Self, final

import aiohttp
import yaml

from loadtool.deployed_host import DeployedHost
from loadtool.deployment_spec import DeploymentSpec
from loadtool.network_plan import NetworkPlan
from mimosapond import codec
from mimosapond.document_body import document_body
from mimosapond.group_spec import GroupSpec
from mimosapond.member_address import MemberAddress
from mimosapond.secret_check import SECRET_HEADER
from mimosapond.service_document import ServiceDocument
from mimosapond.workspace_spec import WorkspaceSpec
from standins.member_settings import MemberSettings
from standins.processes import Processes, free_addresses

PEER_SECRET: Final = 'loopback-peer-secret'
OPERATOR_SECRET: Final = 'loopback-operator-secret'
_READY_TIMEOUT_S: Final = 30
_POLL_INTERVAL_S: Final = 0.05
_LISTENERS_PER_HOST_COUNT: Final = 3
_PLATFORM: Final = 'platform'


@final
class Deployment:
    """Platform, members, hosts and optionally a fault proxy between them."""

    def __init__(
        self,
        spec: DeploymentSpec,
        *,
        is_proxied: bool = False,
        folder: pathlib.Path | None = None,
    ) -> None:
        """Choose addresses without starting any process.

        Parameters
        ----------
        spec
            Sizes of the deployment.
        is_proxied
            Whether links between processes pass through the fault proxy.
        folder
            Folder for the output of the processes; None for a temporary folder.
        """
        self.spec = spec
        self.processes = Processes(folder)
        self._network = NetworkPlan(is_proxied=is_proxied)
        self._is_proxied = is_proxied
        self.proxy_admin_address = free_addresses(1)[0]
        self.platform_address = free_addresses(1)[0]
        self.groups = tuple(
            self._plan_group(index, name)
            for index, name in enumerate(spec.group_names())
        )
        self.hosts = tuple(
            self._plan_host(index) for index in range(spec.host_count)
        )

    async def __aenter__(self) -> Self:
        """Start all processes and wait until all hosts serve all groups."""
        try:
            await self.start()
        except BaseException:
            await self.processes.close()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """End all processes."""
        await self.processes.close()

    @property
    def document(self) -> ServiceDocument:
        """Service document with one workspace per group, ``<group>-ws``."""
        limit_count = self.spec.workspace_connection_count
        return ServiceDocument(
            service=self.spec.service,
            groups=self.groups,
            workspaces=tuple(
                WorkspaceSpec(f'{group.name}-ws', group.name, limit_count)
                for group in self.groups
            ),
            promises=self.spec.promises,
        )

    @property
    def links(self) -> tuple[str, ...]:
        """Names of the links that pass through the fault proxy."""
        return tuple(self._network.links)

    @property
    def workspaces(self) -> tuple[str, ...]:
        """Names of the workspaces, one per group."""
        return tuple(one.name for one in self.document.workspaces)

    async def start(self) -> None:
        """Start the stand-ins and hosts, and apply the service document."""
        host_settings = [self._host_settings(host) for host in self.hosts]
        members = self._member_settings()
        if self._is_proxied:
            await self.processes.start_fault_proxy(
                self.proxy_admin_address,
                self._network.links,
            )
        await self.processes.start_platform(self.platform_address)
        await asyncio.gather(*map(self.processes.start_member, members))
        await asyncio.gather(
            *map(self._start_host, self.hosts, host_settings),
        )
        if self._is_proxied:
            await self.set_faults(delay_ms=self.spec.network_delay_ms)
        await self.apply_document()
        await self.wait_serving()

    async def start_host(self, host: DeployedHost) -> None:
        """Start a host again after it ended, with its earlier settings."""
        path = self._settings_path(host)
        await self._spawn_host(host, path)

    async def operate(
        self,
        host: DeployedHost,
        method: str,
        path: str,
        body: Any = None,
    ) -> Any:
        """Call the operator API of ``host`` and return the decoded answer."""
        url = f'http://{host.operator_address}{path}'
        headers = {SECRET_HEADER: OPERATOR_SECRET}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.request(method, url, json=body) as answer,
        ):
            return await answer.json()

    async def set_faults(self, **faults: Any) -> None:
        """Set faults of links, in the fields of ``standins.fault_proxy``."""
        await self._post(f'http://{self.proxy_admin_address}/faults', faults)

    async def cut(self, *names: str, is_cut: bool = True) -> None:
        """Cut or restore all links that start or end at the named processes."""
        links = [
            link
            for link in self._network.links
            if not set(link.split('>')).isdisjoint(names)
        ]
        await self.set_faults(
            names=links,
            cut_to_target=is_cut,
            cut_to_client=is_cut,
        )

    async def link_faults(self) -> Any:
        """Return the faults and the connection count of each link."""
        async with aiohttp.ClientSession() as session:
            async with session.get(
                f'http://{self.proxy_admin_address}/faults'
            ) as seen:
                return await seen.json()

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform stand-in."""
        url = f'http://{self.platform_address}/admin/faults'
        await self._post(url, faults)

    async def set_member_settings(self, name: str, **settings: Any) -> None:
        """Change settings of a member stand-in while it runs."""
        address = self.member(name).address
        await self._post(f'http://{address}/admin/settings', settings)

    async def member_log(self, name: str) -> Any:
        """Return the transaction log and counters of a member stand-in."""
        url = f'http://{self.member(name).address}/admin/log'
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as answer:
                return await answer.json()

    def member(self, name: str) -> MemberAddress:
        """Return the member with the given name."""
        members = itertools.chain.from_iterable(
            group.members for group in self.groups
        )
        return next(member for member in members if member.name == name)

    async def apply_document(self) -> Any:
        """Apply the service document through the first host."""
        body = {
            'expected_revision': 0,
            'document': document_body(self.document),
        }
        path = f'/v1/documents/{self.spec.service}'
        return await self.operate(self.hosts[0], 'PUT', path, body)

    async def status(self, host: DeployedHost) -> Any:
        """Return the status that ``host`` reports to operators."""
        return await self.operate(host, 'GET', '/v1/status')

    async def primary(self, group: str) -> str:
        """Return the name of the primary in the newest view of ``group``."""
        view = await self.view(group)
        return str(view['primary'])

    async def view(self, group: str) -> dict[str, Any]:
        """Return the view of ``group`` with the highest term of all hosts.

        Hosts that do not answer are ignored.
        """
        statuses = await asyncio.gather(
            *map(self.status, self._running()),
            return_exceptions=True,
        )
        views: list[dict[str, Any]] = [
            view
            for status in statuses
            if not isinstance(status, BaseException)
            for view in status['groups']
            if view['group'] == group
        ]
        return max(views, key=lambda view: int(view['term']))

    async def wait_serving(self) -> None:
        """Wait until every host knows a term holder for every group.

        Raises
        ------
        TimeoutError
            The hosts do not reach this state in time.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await self._is_serving():
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def _is_serving(self) -> bool:
        known = await asyncio.gather(*map(self.status, self._running()))
        host_ids = {status['host']['host_id'] for status in known}
        return all(
            len(status['groups']) == len(self.groups)
            and len(status['hosts']) == len(known)
            and all(view['holder'] in host_ids for view in status['groups'])
            for status in known
        )

    def _running(self) -> list[DeployedHost]:
        return [host for host in self.hosts if self._is_running(host)]

    def _is_running(self, host: DeployedHost) -> bool:
        child = self.processes.children.get(host.name)
        return child is not None and child.exit_code is None

    def _plan_group(self, index: int, name: str) -> GroupSpec:
        count = self.spec.member_count
        addresses = free_addresses(count)
        return GroupSpec(
            name=name,
            members=tuple(
                MemberAddress(
                    name=f'{name}-{number}',
                    data_centre=self.spec.data_centre(index + number),
                    address=address,
                    slot_count=self.spec.slot_count,
                    connection_limit_count=self.spec.connection_limit_count,
                )
                for number, address in enumerate(addresses)
            ),
        )

    def _plan_host(self, index: int) -> DeployedHost:
        addresses = free_addresses(_LISTENERS_PER_HOST_COUNT)
        centre = self.spec.data_centre(index)
        return DeployedHost(f'host-{index}', centre, *addresses)

    def _member_settings(self) -> list[MemberSettings]:
        return [
            self._settings_of_member(group, member)
            for group in self.groups
            for member in group.members
        ]

    def _settings_of_member(
        self,
        group: GroupSpec,
        member: MemberAddress,
    ) -> MemberSettings:
        others = [other for other in group.members if other != member]
        return MemberSettings(
            name=member.name,
            group=group.name,
            address=member.address,
            peers=tuple(
                self._network.connect(member.name, other.name, other.address)
                for other in others
            ),
            schema=self.spec.schema,
            primary=member == group.members[0],
            slot_count=member.slot_count,
            connection_limit_count=member.connection_limit_count,
            connect_delay_ms=self.spec.connect_delay_ms,
            lag_ms=self.spec.lag_ms,
        )

    def _host_settings(self, host: DeployedHost) -> Mapping[str, Any]:
        peers = [(one.name, one.peer_address) for one in self.hosts]
        members = [
            (member.name, member.address)
            for group in self.groups
            for member in group.members
        ]
        overrides = self._network.overrides(
            host.name,
            [*peers, *members, (_PLATFORM, self.platform_address)],
        )
        return {
            'host_name': host.name,
            'data_centre': host.data_centre,
            'caller_address': host.caller_address,
            'peer_address': host.peer_address,
            'operator_address': host.operator_address,
            'platform_address': self.platform_address,
            'seed_addresses': [address for _name, address in peers[:2]],
            'peer_secret': PEER_SECRET,
            'operator_secret': OPERATOR_SECRET,
            'log_level': self.spec.log_level,
            'routing_policy': self.spec.routing_policy,
            'address_overrides': [codec.encode(one) for one in overrides],
            **self.spec.host_settings,
        }

    async def _start_host(
        self,
        host: DeployedHost,
        settings: Mapping[str, Any],
    ) -> None:
        path = self._settings_path(host)
        path.write_text(yaml.safe_dump(dict(settings)), encoding='utf-8')
        await self._spawn_host(host, path)

    async def _spawn_host(self, host: DeployedHost, path: pathlib.Path) -> None:
        await self.processes.start(
            host.name,
            'mimosapond.daemon',
            [f'--settings={path}'],
            f'http://{host.operator_address}/v1/status',
        )

    def _settings_path(self, host: DeployedHost) -> pathlib.Path:
        return self.processes.folder / f'{host.name}.yaml'

    async def _post(self, url: str, body: Mapping[str, Any]) -> None:
        async with aiohttp.ClientSession() as session:
            async with session.post(url, data=json.dumps(body)) as answer:
                answer.raise_for_status()
