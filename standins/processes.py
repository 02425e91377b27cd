"""Management of the child processes of tests and demos.

Integration tests and the demo use ``Processes`` as an asynchronous context
manager, which ends all started processes with the block, also after an error.
All calls of one object are made in one event loop, because asyncio kills the
children of a loop when it closes.
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

# Allows for the import of modules, which takes seconds on a loaded machine.
_READY_TIMEOUT_S: Final = 30.0
_STOP_TIMEOUT_S: Final = 5.0
_FIRST_PORT: Final = 12000
_END_PORT: Final = 32000
_PORTS_PER_BLOCK_COUNT: Final = 250
_LOOPBACK: Final = '127.0.0.1'


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses (``ip:port``) whose ports are free.

    Each port is returned only once per process, even if it is never used.
    """
    free = (port for port in _PORTS if _is_free(port))
    return [f'{_LOOPBACK}:{port}' for port in itertools.islice(free, count)]


def _shuffled_ports() -> Iterator[int]:
    """Yield ports of blocks that are reserved for this process.

    A listening socket on the first port of a block reserves the block.
    Otherwise, another test process could take a port between the check and
    the start of the child, and its child would answer in place of a child
    that failed to start.
    """
    # Outgoing connections do not use ports below the ephemeral range.
    blocks = list(range(_FIRST_PORT, _END_PORT, _PORTS_PER_BLOCK_COUNT))
    random.SystemRandom().shuffle(blocks)
    guards: list[socket.socket] = []
    for first in blocks:
        guard = _reserve_block(first)
        if guard is not None:
            guards.append(guard)
            yield from range(first + 1, first + _PORTS_PER_BLOCK_COUNT)


def _reserve_block(port: int) -> socket.socket | None:
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
    # The library fire parses flag values as Python literals.
    return [f'--{name}={value!r}' for name, value in values.items()]


@final
class Processes:
    """The child processes of one test or demo, by name."""

    def __init__(self, folder: pathlib.Path | None = None) -> None:
        """Store the folder for the output, by default a temporary one."""
        self.children: Final[dict[str, ChildProcess]] = {}
        self._temporary: tempfile.TemporaryDirectory[str] | None = None
        if folder is None:
            self._temporary = tempfile.TemporaryDirectory()
            folder = pathlib.Path(self._temporary.name)
        self.folder: Final = folder

    async def __aenter__(self) -> Self:
        """Return the object without starting a process."""
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop all children."""
        await self.close()

    async def start(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        ready_url: str,
        platform_variables: Mapping[str, str] | None = None,
    ) -> ChildProcess:
        """Start ``python -m module`` and wait until ``ready_url`` answers.

        Raises
        ------
        ValueError
            If a child with this name is running.
        RuntimeError
            If the child ends or does not answer in time.
        """
        earlier = self.children.get(name)
        if earlier is not None and earlier.exit_code is None:
            raise ValueError(f'{name} is already running')
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
        """Start the stand-in for the platform services."""
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
        """Start a fault proxy.

        Parameters
        ----------
        admin
            Address (``ip:port``) of the control interface.
        links
            Listen address and target address by name.
        """
        pairs = {name: '='.join(pair) for name, pair in links.items()}
        return await self.start(
            'fault_proxy',
            'standins.fault_proxy',
            _flags({'admin': admin, 'links': pairs}),
            f'http://{admin}/faults',
        )

    async def close(self) -> None:
        """Stop all children concurrently and wait for them."""
        children = tuple(self.children.values())
        try:
            await asyncio.gather(
                *(child.stop(_STOP_TIMEOUT_S) for child in children),
            )
        finally:
            if self._temporary is not None:
                self._temporary.cleanup()
