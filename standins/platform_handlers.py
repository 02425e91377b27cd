"""HTTP handlers of the platform stand-in."""

import asyncio
import json
from typing import Any, final

import attrs
import cattrs
from tornado.web import HTTPError, RequestHandler

from mimosapond.clock import MS_PER_S
from mimosapond.codec import decode, dump_json, encode
from mimosapond.listed_host import ListedHost
from standins.platform_faults import PlatformFaults
from standins.platform_state import PlatformState


class PlatformHandler(RequestHandler):
    """Applies the faults before and after a request takes effect."""

    def initialize(self, state: PlatformState) -> None:
        """Store the state that all requests share."""
        self.state = state
        self._closed = asyncio.Event()

    def on_connection_close(self) -> None:
        """End a request whose answer is withheld."""
        self._closed.set()

    async def prepare(self) -> None:
        """Count the request, delay it and apply an outage."""
        is_read = self.request.method == 'GET'
        self.state.counters['reads' if is_read else 'writes'] += 1
        await asyncio.sleep(self.state.faults.slow_ms / MS_PER_S)
        if self.state.faults.silent:
            await self.withhold_answer()
        elif self.state.faults.down:
            self.set_status(503)
            self.finish({'message': 'the platform is down'})

    async def withhold_answer(self) -> None:
        """Send no answer until the client closes the connection."""
        self.state.counters['unanswered'] += 1
        await self._closed.wait()
        # Finishing here keeps the handler from running; the client has closed
        # the connection and does not receive this response.
        self.set_status(503)
        self.finish()

    async def answer_write(self, body: dict[str, Any]) -> None:
        """Answer a write that took effect, unless its answer is lost."""
        if self.state.take_lost_answer():
            await self.withhold_answer()
        else:
            self.finish(body)

    def json_body(self) -> Any:
        """Return the parsed body; raise a 400 error if it is not JSON."""
        try:
            return json.loads(self.request.body)
        except ValueError as error:
            raise HTTPError(400) from error


@final
class RowHandler(PlatformHandler):
    """``/table/<key>``: read and compare-and-set of one row."""

    async def get(self, key: str) -> None:
        """Respond with the row; 404 if it does not exist."""
        row = self.state.row(key)
        if not row.revision:
            self.set_status(404)
        self.finish(encode(row))

    async def put(self, key: str) -> None:
        """Write the row if its revision is as expected.

        Otherwise, respond with 409 and the current row.
        """
        change = self.json_body()
        try:
            expected, value = change['expected_revision'], change['value']
        except (KeyError, TypeError) as error:
            raise HTTPError(400) from error
        if self.state.compare_and_set(key, expected, value):
            await self.answer_write({'revision': expected + 1})
        else:
            self.set_status(409)
            self.finish(encode(self.state.row(key)))


@final
class TableHandler(PlatformHandler):
    """``/table?prefix=``: read several rows."""

    async def get(self) -> None:
        """Respond with the rows whose key starts with the prefix."""
        rows = self.state.rows(self.get_argument('prefix', ''))
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps([encode(row) for row in rows]))


@final
class ObjectHandler(PlatformHandler):
    """``/objects/<key>``: read and write one object."""

    async def get(self, key: str) -> None:
        """Respond with the bytes of the object; 404 if it does not exist."""
        stored = self.state.objects.get(key)
        if stored is None:
            raise HTTPError(404)
        self.set_header('Content-Type', 'application/octet-stream')
        self.finish(stored)

    async def put(self, key: str) -> None:
        """Replace the object."""
        self.state.objects[key] = self.request.body
        await self.answer_write({})


@final
class HostListHandler(PlatformHandler):
    """``/hosts``: read the host list."""

    async def get(self) -> None:
        """Respond with the list as it was ``hosts_lag_ms`` ago."""
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(self.state.hosts()))


@final
class HostHandler(PlatformHandler):
    """``/hosts/<host_id>``: change one entry of the list."""

    async def put(self, host_id: str) -> None:
        """Add or change the host."""
        try:
            host = decode(ListedHost, {**self.json_body(), 'host_id': host_id})
        except cattrs.BaseValidationError as error:
            raise HTTPError(400) from error
        self.state.put_host(host)
        await self.answer_write({})


@final
class FaultsHandler(RequestHandler):
    """``POST /admin/faults``: change the given faults, keep the others."""

    def initialize(self, state: PlatformState) -> None:
        """Store the state to change."""
        self._state = state

    async def post(self) -> None:
        """Change the faults and respond with all of them."""
        changes = json.loads(self.request.body)
        merged = encode(self._state.faults) | changes
        self._state.faults = decode(PlatformFaults, merged)
        self.finish(attrs.asdict(self._state.faults))


@final
class CountersHandler(RequestHandler):
    """``GET /admin/counters``: requests since the start."""

    def initialize(self, state: PlatformState) -> None:
        """Store the state to report on."""
        self._state = state

    async def get(self) -> None:
        """Respond with the counters."""
        zero = {'reads': 0, 'writes': 0, 'conflicts': 0, 'lost_answers': 0}
        self.set_header('Content-Type', 'application/json')
        self.finish(dump_json(zero | self._state.counters))
