"""Stand-in of the users' table store, with the faults that its pages name.

Rows are kept in memory. Each transaction takes the next version, and a feed
returns the rows that changed after a version.
"""

import asyncio
import enum
import json
import time
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Any, Final, TypeAlias, final

import attrs
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

_MS_PER_S: Final = 1000
_LOOPBACK: Final = '127.0.0.1'
_POLL_S: Final = 0.01

_Place: TypeAlias = tuple[str, str, str]
_Answer: TypeAlias = tuple[HTTPStatus, Mapping[str, Any]]


@final
class StoreFault(enum.Enum):
    """How the store misbehaves."""

    none = 'none'
    # Nothing is done.
    refuses = 'refuses'
    silent = 'silent'
    # The call is performed, and its answer is lost.
    loses_answers = 'loses_answers'
    # The call is performed after its caller has given up.
    applies_late = 'applies_late'


@final
@attrs.frozen
class _Row:
    value: str | None
    version: int


@final
class TableStore:
    """Rows by table, part and key; tests change ``fault`` at will."""

    def __init__(self, late_s: float) -> None:
        """Start empty.

        Parameters
        ----------
        late_s
            Delay of calls that are applied late.
        """
        self._late_s = late_s
        self._rows: dict[_Place, _Row] = {}
        self._version = 0
        self._oldest_version = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HTTPServer(self._handle)
        self.fault = StoreFault.none
        self.clock_ms = int(time.monotonic() * _MS_PER_S)

    def listen(self) -> str:
        """Listen on a free port; return ``ip:port``."""
        sockets = bind_sockets(0, _LOOPBACK)
        self._server.add_sockets(sockets)
        port: int = sockets[0].getsockname()[1]
        return f'{_LOOPBACK}:{port}'

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def put(self, table: str, key: str, value: str) -> None:
        """Write a row as the operator or a member does; base64 text."""
        self._version += 1
        self._rows[(table, '', key)] = _Row(value, self._version)

    def drop(self, table: str, key: str) -> None:
        """Remove a row; the feed tells it."""
        self._version += 1
        self._rows[(table, '', key)] = _Row(None, self._version)

    def forget_history(self) -> None:
        """Let feeds from earlier versions fail."""
        self._version += 1
        self._oldest_version = self._version

    def _handle(self, request: HTTPServerRequest) -> None:
        task = asyncio.create_task(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HTTPServerRequest) -> None:
        match self.fault:
            case StoreFault.none:
                _send(request, await self._call(request))
            case StoreFault.refuses:
                _send(request, (HTTPStatus.SERVICE_UNAVAILABLE, {}))
            case StoreFault.loses_answers:
                await self._call(request)
            case StoreFault.applies_late:
                await asyncio.sleep(self._late_s)
                await self._call(request)
            case StoreFault.silent:
                return

    async def _call(self, request: HTTPServerRequest) -> _Answer:
        match request.path:
            case '/api/rows-get':
                return self._get(_argument(request, 'table'))
            case '/api/rows-feed':
                return await self._feed(request)
            case '/api/rows-tx':
                return self._transact(json.loads(request.body))
            case _:
                return HTTPStatus.NOT_FOUND, {}

    def _get(self, table: str) -> _Answer:
        rows = self._select(table, 0)
        present = [row for row in rows if 'value' in row]
        return HTTPStatus.OK, self._body(present)

    async def _feed(self, request: HTTPServerRequest) -> _Answer:
        table = _argument(request, 'table')
        after = int(_argument(request, 'after'))
        wait_ms = int(_argument(request, 'wait_ms'))
        if after < self._oldest_version:
            return HTTPStatus.GONE, {}
        end_s = time.monotonic() + wait_ms / _MS_PER_S
        while time.monotonic() < end_s and not self._select(table, after):
            await asyncio.sleep(_POLL_S)
        return HTTPStatus.OK, self._body(self._select(table, after))

    def _transact(self, body: Mapping[str, Any]) -> _Answer:
        failed = [
            place
            for place in body['expect_rev']
            if self._version_of(place) != place['ver']
        ]
        if failed:
            return HTTPStatus.PRECONDITION_FAILED, self._body([])
        self._version += 1
        for entry in body['set_keys']:
            self._rows[_place(entry)] = _Row(entry['value'], self._version)
        for entry in body['remove']:
            self._rows[_place(entry)] = _Row(None, self._version)
        return HTTPStatus.OK, self._body([])

    def _version_of(self, entry: Mapping[str, Any]) -> int:
        row = self._rows.get(_place(entry))
        return 0 if row is None or row.value is None else row.version

    def _select(self, table: str, after: int) -> list[Mapping[str, Any]]:
        found = [
            _shown(place, row)
            for place, row in self._rows.items()
            if place[0] == table and row.version > after
        ]
        return sorted(found, key=lambda row: int(row['ver']))

    def _body(self, rows: Sequence[Mapping[str, Any]]) -> Mapping[str, Any]:
        return {'rows': rows, 'ver': self._version, 'now_ms': self.clock_ms}


def _place(entry: Mapping[str, Any]) -> _Place:
    return entry['table'], entry['part'], entry['key']


def _shown(place: _Place, row: _Row) -> Mapping[str, Any]:
    table, part, key = place
    shown = {'table': table, 'part': part, 'key': key, 'ver': row.version}
    if row.value is None:
        return {**shown, 'deleted': True}
    return {**shown, 'value': row.value}


def _argument(request: HTTPServerRequest, name: str) -> str:
    return request.arguments[name][0].decode()


def _send(request: HTTPServerRequest, answer: _Answer) -> None:
    status, body = answer
    content = json.dumps(body).encode()
    headers = HTTPHeaders({'Content-Length': str(len(content))})
    connection = request.connection
    if connection is not None:
        connection.write_headers(
            ResponseStartLine('HTTP/1.1', status, status.phrase),
            headers,
            content,
        )
        connection.finish()
