"""HTTP server with a limit of connections.

tornado limits the size and the time of requests, but not the number of
connections. A connection over the limit gets a typed answer to its first
request and is closed, so callers can tell a full host from a broken one.
"""

import asyncio
from collections.abc import Awaitable
from typing import Any, Final, final

import attrs
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from mimosapond import codec
from mimosapond.errors import refuse
from mimosapond.refusal_reason import RefusalReason

# Over the limit and this many more, connections are closed without an answer.
EXCESS_LIMIT_COUNT: Final = 64
_RETRY_AFTER_MS: Final = 1000
_UNAVAILABLE: Final = 503


@final
@attrs.frozen
class ConnectionBounds:
    """Limits of one listener.

    Attributes
    ----------
    limit_count
        Most open connections; None for no limit.
    header_timeout_s
        Longest wait for the first headers of a connection.
    """

    limit_count: int | None
    header_timeout_s: float


@final
class BoundedServer(HTTPServer):
    """Counts its connections by the hooks that tornado calls."""

    def limit_by(self, bounds: ConnectionBounds) -> None:
        """Take the limits; called once, before listening."""
        self._bounds = bounds
        self._admitted: set[object] = set()
        self._excess: set[object] = set()

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Wait for the next request of a connection."""
        is_first = self._admit(server_conn)
        if server_conn in self._excess:
            delegate: HTTPMessageDelegate = _Refusal(
                request_conn,
                self._bounds.limit_count or 0,
            )
        else:
            delegate = super().start_request(server_conn, request_conn)
        if is_first and isinstance(server_conn, HTTP1ServerConnection):
            return _HeaderTimer(
                delegate,
                server_conn,
                self._bounds.header_timeout_s,
            )
        return delegate

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        super().on_close(server_conn)
        self._admitted.discard(server_conn)
        self._excess.discard(server_conn)

    def _admit(self, server_conn: object) -> bool:
        if server_conn in self._admitted or server_conn in self._excess:
            return False
        limit_count = self._bounds.limit_count
        if limit_count is None or len(self._admitted) < limit_count:
            self._admitted.add(server_conn)
            return True
        self._excess.add(server_conn)
        if len(self._excess) > EXCESS_LIMIT_COUNT:
            _close(server_conn)
        return True


class _HeaderTimer(HTTPMessageDelegate):
    """Closes a connection whose first headers do not come in time.

    tornado has one limit for headers and for idle connections, which has to
    be long for callers that keep their connections.
    """

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        server_conn: HTTP1ServerConnection,
        timeout_s: float,
    ) -> None:
        self._delegate = delegate
        self._timer = asyncio.get_running_loop().call_later(
            timeout_s,
            _close,
            server_conn,
        )

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._timer.cancel()
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._timer.cancel()
        self._delegate.on_connection_close()


class _Refusal(HTTPMessageDelegate):
    """Reads a request without keeping it and refuses it."""

    def __init__(self, request_conn: HTTPConnection, limit_count: int) -> None:
        self._connection = request_conn
        self._limit_count = limit_count

    def finish(self) -> None:
        body = _refusal_body(self._limit_count)
        headers = HTTPHeaders(
            {
                'Content-Type': 'application/json',
                'Content-Length': str(len(body)),
                'Connection': 'close',
            },
        )
        start = ResponseStartLine('', _UNAVAILABLE, 'Service Unavailable')
        self._connection.write_headers(start, headers, body)
        self._connection.finish()


def _refusal_body(limit_count: int) -> bytes:
    refused = refuse(
        RefusalReason.CONNECTION_LIMIT,
        retry_after_ms=_RETRY_AFTER_MS,
        limit_count=limit_count,
    )
    return codec.dump_json(codec.encode(refused)).encode()


def _close(server_conn: Any) -> None:
    server_conn.stream.close()
