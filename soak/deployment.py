"""Processes of a live test: stand-ins, fault proxy and hosts."""

import asyncio
import json
import pathlib
import signal
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, final

import attrs

from soak.host_process import OWN_IP_VARIABLE
from soak.host_template import render_settings
from soak.layout import LOOPBACK, GroupLayout, HostLayout, Layout
from soak.unanswered_check import STOP_GRACE_S
from soak.violation import ViolationLog
from standins.child_process import ChildProcess
from standins.processes import Processes

# The platform runs processes with fixed memory addresses and hashes, so objects
# of two hosts often have the same ``id()``.
_ENVIRONMENT: Final = MappingProxyType({'PYTHONHASHSEED': '0'})
# With these statement costs members often use all slots and refuse some work.
_READ_MS: Final = 8
_WRITE_MS: Final = 6


@final
class SoakDeployment:
    """Starts, signals and stops the processes of a live test."""

    def __init__(
        self, layout: Layout, folder: pathlib.Path, settings: str = ''
    ) -> None:
        """Create a deployment that writes settings and logs to ``folder``.

        Parameters
        ----------
        settings
            Lines that are added to the settings file of each host.
        """
        self.layout: Final = layout
        self._settings = settings
        self.folder: Final = folder
        self.processes: Final = Processes(folder)
        # Names of hosts that the test has stopped and not yet started again.
        self._stopped_by_test: set[str] = set()

    async def start(self) -> None:
        """Start all processes; the hosts start concurrently."""
        layout = self.layout
        await self._start_services()
        await asyncio.gather(
            *(self._start_group(group) for group in layout.groups),
            self.processes.start_fault_proxy(
                f'{LOOPBACK}:{layout.proxy_port}', layout.links()
            ),
        )
        await asyncio.gather(*(self.start_host(host) for host in layout.hosts))

    async def start_host(self, host: HostLayout) -> None:
        """Start a host and wait until it answers HTTP requests."""
        path = self._write(
            f'{host.name}.yaml',
            render_settings(self.layout, host) + self._settings,
        )
        await self.processes.start(
            host.name,
            'soak.host_process',
            (),
            f'http://{host.ip}:{self.layout.ready_port}/api/ready',
            {
                **_ENVIRONMENT,
                'MIMOSAPOND_NODE_FILE': str(path),
                OWN_IP_VARIABLE: host.ip,
            },
        )
        self._stopped_by_test.discard(host.name)

    async def stop_host(self, host: HostLayout, *, is_graceful: bool) -> None:
        """Stop a host with SIGTERM if graceful, else with SIGKILL."""
        self._stopped_by_test.add(host.name)
        child = self.child(host)
        if is_graceful:
            await child.stop(STOP_GRACE_S)
        else:
            await child.kill()

    def child(self, host: HostLayout) -> ChildProcess:
        """Return the process of a host."""
        return self.processes.children[host.name]

    def is_running(self, host: HostLayout) -> bool:
        """Return whether the host runs and the test has not stopped it."""
        return (
            host.name not in self._stopped_by_test
            and self.child(host).exit_code is None
        )

    def resume_all(self) -> None:
        """Resume all hosts that were paused with SIGSTOP."""
        for host in self.layout.hosts:
            self.child(host).send_signal(signal.SIGCONT)

    def check_exits(self, violations: ViolationLog) -> None:
        """Report hosts that exited without being stopped by the test."""
        for host in self.layout.hosts:
            code = self.child(host).exit_code
            if code is not None and host.name not in self._stopped_by_test:
                violations.add('ENDED', host.name, [], f'exit code {code}')

    async def close(self) -> None:
        """Stop the hosts first and then all other processes.

        A host logs errors if the store refuses its calls during shutdown.
        """
        await asyncio.gather(
            *(
                self.stop_host(host, is_graceful=True)
                for host in self.layout.hosts
                if host.name in self.processes.children
            )
        )
        await self.processes.close()

    async def _start_services(self) -> None:
        layout = self.layout
        body = {
            'store_port': layout.store_port,
            'promotion_port': layout.promotion_port,
            'groups': {
                group.name: f'{LOOPBACK}:{group.control_port}'
                for group in layout.groups
            },
            'host_ips': [host.ip for host in layout.hosts],
            'link_ports': layout.peer_link_ports(),
        }
        path = self._write_json('platform_services', body)
        await self.processes.start(
            'platform_services',
            'standins.platform_services.daemon',
            (str(path),),
            f'{layout.store_url}/api/rows-get?table=op',
        )

    async def _start_group(self, group: GroupLayout) -> None:
        body = {
            'group': group.name,
            'control_port': group.control_port,
            'store_address': f'{LOOPBACK}:{self.layout.store_port}',
            'members': [attrs.asdict(member) for member in group.members],
            'spare_ports': group.spare_ports,
            'read_ms': _READ_MS,
            'write_ms': _WRITE_MS,
        }
        path = self._write_json(group.name, body)
        await self.processes.start(
            group.name,
            'standins.database_group.daemon',
            (str(path),),
            f'http://{LOOPBACK}:{group.control_port}/report',
        )

    def _write_json(self, name: str, body: Mapping[str, Any]) -> pathlib.Path:
        return self._write(f'{name}.json', json.dumps(body))

    def _write(self, name: str, text: str) -> pathlib.Path:
        path = self.folder / name
        path.write_text(text, encoding='utf-8')
        return path
