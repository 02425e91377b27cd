"""Builders of a small deployment and of crowds of callers that misbehave.

The hosts are processes of their own, so that the memory and descriptors of the
callers and stand-ins do not count as theirs.
"""

import asyncio
import itertools
import pathlib
import re
import socket
from collections.abc import Iterable
from types import MappingProxyType
from typing import Final, Self, final

import attrs

from soak.caller_connection import CallerConnection, Success
from soak.deployment import SoakDeployment
from soak.http_json import post_json
from soak.layout import LOOPBACK, HostLayout, Layout, link_name
from soak.operator import Operator
from soak.plan import SoakPlan

_SEED: Final = 5
_DATABASE: Final = 'g0-primary'
_SMALL_BUFFER_BYTES: Final = 8192
# A legal message; the limit of a line is 1 MiB.
_LARGE_BYTES: Final = 1_000_000
_HALF_BYTES: Final = 900_000
_OVERSIZE_BYTES: Final = 8_000_000
_PIECE_BYTES: Final = 1000
_PIPELINED_COUNT: Final = 20_000
_LARGE_PIPELINED_COUNT: Final = 12
_VALUE_COUNT: Final = 4
_STORED_ITEM: Final = 'stored'
_REQUEST_NUMBERS: Final = itertools.count(1)
# Only ends a test that would hang.
_LIMIT_S: Final = 60.0
_POLL_S: Final = 0.1
# Time for a crowd to arrive whose requests get no answer.
_ARRIVAL_S: Final = 6.0
_START: Final = f'START {_DATABASE} crowd\r\n'.encode()


def _query(text: str) -> bytes:
    return f'QUERY x{next(_REQUEST_NUMBERS)} {text}\r\n'.encode()


def _large_write() -> bytes:
    number = next(_REQUEST_NUMBERS)
    return _query(f'WRITE w{number} {"x" * _LARGE_BYTES}')


def _read_large_item() -> bytes:
    return _query(f'READ {_STORED_ITEM}') * _LARGE_PIPELINED_COUNT


def _set_large_values() -> bytes:
    return b''.join(
        _query(f'SET v{number} {"x" * _HALF_BYTES}')
        for number in range(_VALUE_COUNT)
    )


def _pipelined() -> bytes:
    return b'QUERY x SET a b\r\n' * _PIPELINED_COUNT


_MESSAGES: Final = MappingProxyType(
    {
        'send a large message': lambda: _START + _large_write(),
        'send a large message in small pieces': lambda: _START + _large_write(),
        'stop half-way in a large message': lambda: (
            _START + _query(f'WRITE w {"x" * _HALF_BYTES}')[:-2]
        ),
        'send a message far over the limit': lambda: (
            _START + b'x' * _OVERSIZE_BYTES
        ),
        'send many requests and read no answer': lambda: _START + _pipelined(),
        'request large answers and read none': lambda: (
            _START + _read_large_item()
        ),
        'keep large values in their sessions': lambda: (
            _START + _set_large_values()
        ),
        'connect and send nothing': bytes,
    }
)
# Crowds whose members read all that the host sends.
_READING: Final = frozenset(
    (
        'send a large message',
        'send a large message in small pieces',
        'stop half-way in a large message',
        'send a message far over the limit',
        'connect and send nothing',
    )
)


@final
class _CrowdCaller:
    """One connection of a crowd."""

    def __init__(self, host: HostLayout, port: int, manner: str) -> None:
        self._address = (host.ip, port)
        self._manner = manner
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send everything; an end of the connection by the host is legal."""
        try:
            reader, writer = await self._connect()
            self._writer = writer
            await self._send(writer)
            if self._manner in _READING:
                await self._read(reader)
            else:
                await asyncio.Event().wait()
        except OSError:
            return

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect with a small buffer, so that unread answers stay behind."""
        connection = socket.socket()
        connection.setblocking(False)
        if self._manner not in _READING:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
        await asyncio.get_running_loop().sock_connect(connection, self._address)
        return await asyncio.open_connection(
            sock=connection, limit=_SMALL_BUFFER_BYTES
        )

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        message = _MESSAGES[self._manner]()
        size = len(message)
        if self._manner.endswith('small pieces'):
            size = _PIECE_BYTES
        for start in range(0, len(message), size or 1):
            writer.write(message[start : start + size])
            await writer.drain()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        # The answer to START, then the one or two lines of the request.
        while line := await reader.readline():
            if line.startswith((b'COMPLETE', b'ERROR')):
                return


@final
@attrs.frozen
class HostUsage:
    """Memory and descriptors of a host process, as Linux reports them."""

    peak_kib: int
    descriptor_count: int

    @classmethod
    def of(cls, process_id: int) -> Self:
        """Read the figures of a running process."""
        folder = pathlib.Path(f'/proc/{process_id}')
        found = re.search(r'VmHWM:\s+(\d+)', (folder / 'status').read_text())
        assert found is not None
        return cls(int(found[1]), len(list((folder / 'fd').iterdir())))


@final
class MisbehavingWorld:
    """One group, and hosts whose settings name little memory."""

    def __init__(
        self, folder: pathlib.Path, host_count: int, settings: str
    ) -> None:
        """Create a deployment whose hosts also have the given settings."""
        plan = SoakPlan(_SEED, hosts=host_count, groups=1)
        self._layout = Layout.choose(plan)
        self._deployment = SoakDeployment(self._layout, folder, settings)
        self._crowd: list[_CrowdCaller] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all processes, and wait until a request is served."""
        await self._deployment.start()
        await Operator(self._layout, _SEED).write_next()
        for host in self._layout.hosts:
            assert await self.is_served(host), f'{host.name} did not start'

    async def close(self) -> None:
        """End the crowd and all processes."""
        for caller in self._crowd:
            caller.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._deployment.close()

    async def store_item(self) -> None:
        """Write the item that has a large value."""
        value = 'y' * _HALF_BYTES
        assert await self.is_served(
            self._layout.hosts[0], f'WRITE {_STORED_ITEM} {value}'
        )

    async def cut_from_members(self) -> None:
        """Cut the first host off from the members, so that it passes on."""
        host = self._layout.hosts[0]
        members = self._layout.groups[0].members
        await post_json(
            f'http://{LOOPBACK}:{self._layout.proxy_port}/faults',
            {
                'names': [link_name(host, member.port) for member in members],
                'cut': True,
            },
        )
        assert await self.is_served(host), 'no request was passed on'

    async def run_crowd(self, count: int, manner: str) -> None:
        """Let callers come at the first host, and stay connected."""
        if 'large answers' in manner:
            await self.store_item()
        host, port = self._layout.hosts[0], self._layout.front_port
        self._crowd = [_CrowdCaller(host, port, manner) for _ in range(count)]
        self._tasks = [
            asyncio.create_task(caller.run()) for caller in self._crowd
        ]
        await asyncio.wait(self._tasks, timeout=_ARRIVAL_S)

    async def is_served(
        self, host: HostLayout, text: str = 'WRITE small 1'
    ) -> bool:
        """Return whether a caller gets an answer after some tries."""
        try:
            async with asyncio.timeout(_LIMIT_S):
                while not await self._is_answered(host, text):
                    await asyncio.sleep(_POLL_S)
        except TimeoutError:
            return False
        return True

    def usages(self) -> Iterable[HostUsage]:
        """Return the figures of all hosts; an ended host is an error."""
        for host in self._layout.hosts:
            child = self._deployment.child(host)
            assert child.exit_code is None, f'{host.name} ended'
            yield HostUsage.of(child.process_id)

    async def lose_descriptors(self, bound_count: int) -> bool:
        """Return whether all hosts come to have few open descriptors."""
        try:
            async with asyncio.timeout(_LIMIT_S):
                while any(
                    usage.descriptor_count > bound_count
                    for usage in self.usages()
                ):
                    await asyncio.sleep(_POLL_S)
        except TimeoutError:
            return False
        return True

    async def is_large_served(self, request: str) -> bool:
        """Return whether one large request is served in calm."""
        host = self._layout.hosts[0]
        match request:
            case 'reads a large item':
                await self.store_item()
                return await self.is_served(host, f'READ {_STORED_ITEM}')
            case 'sends a large message':
                text = 'x' * _LARGE_BYTES
            case _:
                text = f'\N{SNOWMAN}{"x" * _HALF_BYTES}'
        return await self.is_served(host, f'WRITE large {text}')

    async def is_first_served(self) -> bool:
        """Return whether the host of the crowd serves another caller."""
        return await self.is_served(self._layout.hosts[0])

    async def _is_answered(self, host: HostLayout, text: str) -> bool:
        connection = await CallerConnection.open(
            host.ip, self._layout.front_port, _DATABASE
        )
        if connection is None:
            return False
        request_id = f'o{next(_REQUEST_NUMBERS)}'
        answer = await connection.ask(request_id, text, _LIMIT_S)
        connection.close()
        return isinstance(answer, Success)
