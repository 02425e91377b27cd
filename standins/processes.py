"""Starts stand-ins and other modules as child processes and ends them.

Integration tests and the demo use it as an asynchronous context manager, so
that whatever was started ends with the block, also after an error. All calls
of one object are made in one event loop: asyncio kills the children of a loop
when it closes.
"""

import asyncio
import itertools
import pathlib
import random
import socket
import tempfile
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, Self, final

from mimosapond.codec import encode
from standins.child_process import ChildProcess
from standins.member_settings import MemberSettings

# Importing the modules takes seconds on a loaded machine.
_READY_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 5.0
_FIRST_PORT: Final = 12000
_END_PORT: Final = 32000
_BLOCK_COUNT: Final = 250
_LOOPBACK: Final = '127.0.0.1'


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that were free just now.

    A port is given once per process, also if it is not yet in use.
    """
    free = (port for port in _PORTS if _is_free(port))
    return [f'{_LOOPBACK}:{port}' for port in itertools.islice(free, count)]


def _shuffled_ports() -> Iterator[int]:
    """Yield ports of blocks that this process alone uses.

    Deployments of several processes would otherwise take the same port between
    the check and the start of the child, and a child that listens elsewhere
    would answer in place of the one that failed to start.
    """
    # Ports below the ephemeral range can't be taken by outgoing connections.
    blocks = list(range(_FIRST_PORT, _END_PORT, _BLOCK_COUNT))
    random.SystemRandom().shuffle(blocks)
    guards: list[socket.socket] = []
    for first in blocks:
        guard = _bind_guard(first)
        if guard is not None:
            guards.append(guard)
            yield from range(first + 1, first + _BLOCK_COUNT)


def _bind_guard(port: int) -> socket.socket | None:
    guard = socket.socket()
    try:
        guard.bind((_LOOPBACK, port))
    except OSError:
        guard.close()
        return None
    guard.listen()
    return guard


_PORTS: Final = _shuffled_ports()


def _is_free(port: int) -> bool:
    with socket.socket() as candidate:
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            candidate.bind((_LOOPBACK, port))
        except OSError:
            return False
    return True


def _flags(values: Mapping[str, Any]) -> list[str]:
    # fire reads flag values as Python literals.
    return [f'--{name}={value!r}' for name, value in values.items()]


@final
class Processes:
    """The child processes of one test or demo, by name."""

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        """Take the folder for the output, by default a temporary one."""
        self.children: Final[dict[str, ChildProcess]] = {}
        self._temporary: tempfile.TemporaryDirectory[str] | None = None
        if folder is None:
            self._temporary = tempfile.TemporaryDirectory()
            folder = pathlib.Path(self._temporary.name)
        self.folder: Final = folder

    async def __aenter__(self) -> Self:
        """Start nothing yet."""
        return self

    async def __aexit__(self, *_error: object) -> None:
        """End all children."""
        await self.close()

    async def start(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        ready_url: str,
        platform_variables: Mapping[str, str] | None = None,
    ) -> ChildProcess:
        """Start ``python -m module`` and wait until ``ready_url`` answers."""
        earlier = self.children.get(name)
        if earlier is not None and earlier.exit_code is None:
            raise ValueError(f'{name} runs already')
        child = await ChildProcess.start(
            name, module, arguments, self.folder, platform_variables
        )
        self.children[name] = child
        await child.wait_ready(ready_url, _READY_TIMEOUT_S)
        return child

    async def start_member(self, settings: MemberSettings) -> ChildProcess:
        """Start a database group member."""
        return await self.start(
            settings.name,
            'standins.member',
            _flags(encode(settings)),
            f'http://{settings.address}/admin/log',
        )

    async def start_platform(self, address: str) -> ChildProcess:
        """Start the platform's services."""
        return await self.start(
            'platform',
            'standins.platform',
            _flags({'address': address}),
            f'http://{address}/admin/counters',
        )

    async def start_fault_proxy(
        self,
        admin: str,
        links: Mapping[str, tuple[str, str]],
    ) -> ChildProcess:
        """Start a fault proxy; ``links`` maps names to listen and target."""
        pairs = {name: '='.join(pair) for name, pair in links.items()}
        return await self.start(
            'fault_proxy',
            'standins.fault_proxy',
            _flags({'admin': admin, 'links': pairs}),
            f'http://{admin}/faults',
        )

    async def close(self) -> None:
        """End all children at the same time and wait for them."""
        children = tuple(self.children.values())
        try:
            await asyncio.gather(
                *(child.stop(_STOP_TIMEOUT_S) for child in children),
            )
        finally:
            if self._temporary is not None:
                self._temporary.cleanup()
