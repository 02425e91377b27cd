"""Test rig of a database group with callers, control port and store."""

import asyncio
import base64
import contextlib
import json
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar, final

from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from standins.database_group.daemon import build_control_server
from standins.database_group.database_group import DatabaseGroup
from standins.database_group.group_settings import GroupSettings, MemberEndpoint
from standins.database_group.stuck_transaction_monitor import STUCK_TIMEOUT_S
from standins.processes import free_addresses

# Exceeds any delay of a loaded machine; no result depends on it.
TIMEOUT_S: Final = 30.0
# Time without data after which no answer is expected.
_QUIET_S: Final = 0.3
_POLL_INTERVAL_S: Final = 0.02
_GROUP: Final = 'g1'
_LOOPBACK: Final = '127.0.0.1'
_Answer = TypeVar('_Answer')


def build_settings(control: str, store: str, **options: Any) -> GroupSettings:
    """Return settings of a group of three members on free ports.

    Parameters
    ----------
    control, store
        Addresses (``ip:port``) of the control port and of the table store.
    options
        Other fields of ``GroupSettings``.
    """
    ports = [int(each.split(':')[1]) for each in (control, *free_addresses(4))]
    places = tuple(
        MemberEndpoint(f'm{number}', port, data_centre)
        for number, port, data_centre in zip(
            (1, 2, 3), ports[1:4], 'abc', strict=True
        )
    )
    defaults = {
        'spare_ports': (ports[4],),
        'promote_ms': 20,
        'heartbeat_ms': 100,
        'seed': 5,
    }
    return GroupSettings(
        _GROUP, ports[0], store, places, **{**defaults, **options}
    )


def ports_of(settings: GroupSettings) -> dict[str, int]:
    """Return the members' ports by id."""
    return {place.member_id: place.port for place in settings.members}


@final
class RowsHandler(RequestHandler):
    """Table store with only the call by which members register."""

    def initialize(self, rows: dict[str, Any]) -> None:
        """Store the dictionary of rows by key."""
        self._rows = rows

    def post(self) -> None:
        """Set a row, or remove it if its value is null."""
        row = json.loads(self.request.body)
        assert row['table'] == 'servers', row
        if row['value'] is None:
            self._rows.pop(row['key'], None)
        else:
            content = base64.b64decode(row['value'])
            self._rows[row['key']] = json.loads(content)


@final
class GroupCaller:
    """A caller's connection to a member."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Store the streams of an open connection."""
        self._reader = reader
        self._writer = writer
        self.answer: list[str] = []

    def send(self, line: str) -> None:
        """Send a line without waiting for an answer."""
        self._writer.write(f'{line}\r\n'.encode())

    async def ask(self, request: str) -> list[str]:
        """Send a request and return the lines of its answer."""
        self.send(f'QUERY {request}')
        self.answer = await self.read()
        return self.answer

    async def read(self) -> list[str]:
        """Return the lines of the next answer.

        The last line is ``a part`` if the connection ends within the answer.
        """
        lines: list[str] = []
        async with asyncio.timeout(TIMEOUT_S):
            while not (lines and lines[-1].startswith(('READY', 'ERROR W'))):
                line = await self._read_line()
                if not line.endswith(b'\r\n'):
                    return [*lines, 'a part']
                lines.append(line.decode().strip())
        return lines

    async def read_pieces(self) -> list[str]:
        """Return the next answer in the pieces in which it arrives."""
        pieces: list[str] = []
        async with asyncio.timeout(TIMEOUT_S):
            while 'READY' not in ''.join(pieces) or pieces[-1][-1] != '\n':
                pieces.append((await self._reader.read(1000)).decode())
        return pieces

    async def is_quiet(self) -> bool:
        """Return whether no data arrives for ``_QUIET_S``."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._reader.read(1), _QUIET_S)
            return False
        return True

    async def is_closed(self) -> bool:
        """Return whether the member has closed the connection."""
        async with asyncio.timeout(TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                return await self._reader.read() == b''
        return True

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def _read_line(self) -> bytes:
        with contextlib.suppress(ConnectionError):
            return await self._reader.readline()
        return b''


@final
class GroupRig:
    """One event loop with a group, its store and its callers."""

    def __init__(
        self, stuck_timeout_s: float = STUCK_TIMEOUT_S, **options: Any
    ) -> None:
        """Start the group and the store."""
        # Refusals are expected here and would clutter the test output.
        logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
        self.rows: dict[str, Any] = {}
        self.callers: dict[str, GroupCaller] = {}
        self._runner = asyncio.Runner()
        self._control = free_addresses(1)[0]
        store = free_addresses(1)[0]
        settings = build_settings(self._control, store, **options)
        self._ports = ports_of(settings)
        self.run(self._start(settings, store, stuck_timeout_s))

    def run(self, work: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run a coroutine in the loop of the rig."""
        return self._runner.run(work)

    async def connect(self, name: str, member_id: str, start: str) -> None:
        """Open the connection of a caller and send its first line."""
        caller = GroupCaller(
            *await asyncio.open_connection(_LOOPBACK, self._ports[member_id])
        )
        caller.send(f'START {start}')
        self.callers[name] = caller

    async def caller(self, name: str, member_id: str) -> GroupCaller:
        """Return the connection of a caller, opened on first use."""
        if name not in self.callers:
            await self.connect(name, member_id, f'{_GROUP} me {member_id}')
            await self.callers[name].read()
        return self.callers[name]

    async def call(self, path: str, **body: Any) -> Any:
        """Call the control port; return the body with the HTTP status."""
        answer = await AsyncHTTPClient().fetch(
            f'http://{self._control}{path}',
            method='POST' if body else 'GET',
            body=json.dumps(body) if body else None,
            raise_error=False,
        )
        return {**json.loads(answer.body), 'status': answer.code}

    async def await_report(self, is_expected: Callable[[Any], bool]) -> None:
        """Poll the report until it satisfies a condition."""
        async with asyncio.timeout(TIMEOUT_S):
            while not is_expected(await self.call('/report')):
                await asyncio.sleep(_POLL_INTERVAL_S)

    def close(self) -> None:
        """Close all connections and stop all servers."""
        self.run(self._stop())
        self._runner.close()

    async def _start(
        self, settings: GroupSettings, store: str, stuck_timeout_s: float
    ) -> None:
        rows = {'rows': self.rows}
        server = HTTPServer(
            Application([('/standin/rows-put', RowsHandler, rows)])
        )
        server.listen(int(store.split(':')[1]), _LOOPBACK)
        self._group = DatabaseGroup(settings, stuck_timeout_s)
        await self._group.start()
        control = build_control_server(self._group)
        control.listen(settings.control_port, _LOOPBACK)
        self._servers = (server, control)

    async def _stop(self) -> None:
        for caller in self.callers.values():
            caller.close()
        self._group.stop()
        for server in self._servers:
            server.stop()
