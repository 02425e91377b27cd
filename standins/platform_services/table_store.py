"""Stand-in for the table store of the users' platform, with its faults.

Rows are kept in memory. Each transaction takes the next version, and a feed
returns the rows that changed after a version.
"""

import asyncio
import json
import time
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final, final

from tornado.httputil import HTTPServerRequest

from standins.platform_services.faulty_server import (
    FaultyServer,
    ServiceAnswer,
)
from standins.platform_services.link_address_rewriter import LinkAddressRewriter
from standins.platform_services.store_fault import StoreFault
from standins.platform_services.table_rows import TableRows

_MS_PER_S: Final = 1000
_LOOPBACK: Final = '127.0.0.1'
_POLL_INTERVAL_S: Final = 0.01
# Tables that hosts may not write; the operator and the members write them.
_TABLES_READ_ONLY_FOR_HOSTS: Final = frozenset(('op', 'servers'))


@final
class TableStore:
    """HTTP interface of the table rows, with injected faults."""

    def __init__(
        self, late_s: float, link_ports: Mapping[str, int] | None = None
    ) -> None:
        """Start without rows and without listening.

        Parameters
        ----------
        late_s
            Delay of calls under the fault ``applies_late``.
        link_ports
            Ports that replace addresses in rows; see ``LinkAddressRewriter``.
        """
        self.rows = TableRows()
        self.server = FaultyServer(self._handle, late_s)
        self._address_rewriter = LinkAddressRewriter(link_ports or {})

    @property
    def fault(self) -> StoreFault:
        """Fault of all hosts, unless a timed fault is in force."""
        return self.server.fault

    @fault.setter
    def fault(self, fault: StoreFault) -> None:
        self.server.fault = fault

    def listen(self, ip: str = _LOOPBACK, port: int = 0) -> str:
        """Listen on a port, by default any free port; return ``ip:port``."""
        return self.server.listen(ip, port)

    def close(self) -> None:
        """Stop listening."""
        self.server.close()

    def put(self, table: str, key: str, value: str) -> None:
        """Write a row as the operator or a member does.

        Parameters
        ----------
        value
            Content in base64.
        """
        self.rows.put((table, '', key), value)

    def drop(self, table: str, key: str) -> None:
        """Delete a row; the feed reports the deletion."""
        self.rows.put((table, '', key), None)

    def forget_history(self) -> None:
        """Discard the change history; feeds from earlier versions fail."""
        self.rows.forget_history()

    async def _handle(self, request: HTTPServerRequest) -> ServiceAnswer:
        match request.path:
            case '/api/rows-get':
                found = self.rows.get(_query(request))
                return self._address_rewriter.rewrite_for(
                    request.host_name, found
                )
            case '/api/rows-parts':
                return self.rows.parts(_query(request))
            case '/api/rows-feed':
                found = await self._feed(_query(request))
                return self._address_rewriter.rewrite_for(
                    request.host_name, found
                )
            case '/api/rows-tx':
                return self._transact(json.loads(request.body))
            case '/standin/rows-put':
                return self._put(json.loads(request.body))
            case '/standin/fault':
                return self._inject_fault(json.loads(request.body))
            case _:
                return HTTPStatus.NOT_FOUND, {}

    async def _feed(self, query: Mapping[str, str]) -> ServiceAnswer:
        table, after = query['table'], int(query['after'])
        if self.rows.is_forgotten(after):
            return HTTPStatus.GONE, {}
        end_s = time.monotonic() + int(query['wait_ms']) / _MS_PER_S
        while time.monotonic() < end_s and not self.rows.changes(table, after):
            await asyncio.sleep(_POLL_INTERVAL_S)
        found = self.rows.changes(table, after)
        return HTTPStatus.OK, self.rows.body(found)

    def _transact(self, body: Mapping[str, Any]) -> ServiceAnswer:
        changes = [*body['set_keys'], *body['remove']]
        if any(
            entry['table'] in _TABLES_READ_ONLY_FOR_HOSTS for entry in changes
        ):
            return HTTPStatus.FORBIDDEN, {}
        parts = {entry['part'] for entry in (*changes, *body['expect_rev'])}
        if len(parts) > 1 and not body.get('across'):
            return HTTPStatus.BAD_REQUEST, {}
        return self.rows.transact(body)

    def _put(self, body: Mapping[str, Any]) -> ServiceAnswer:
        self.rows.put((body['table'], '', body['key']), body['value'])
        return HTTPStatus.OK, {}

    def _inject_fault(self, body: Mapping[str, Any]) -> ServiceAnswer:
        if body['kind'] == 'forgets_history':
            self.rows.forget_history()
        else:
            self.server.inject_fault(
                StoreFault(body['kind']),
                float(body['for_s']),
                body.get('hosts', []),
                float(body.get('late_s', 0)),
            )
        return HTTPStatus.OK, {}


def _query(request: HTTPServerRequest) -> dict[str, str]:
    return {
        name: values[0].decode()
        for name, values in request.arguments.items()
        if values
    }
