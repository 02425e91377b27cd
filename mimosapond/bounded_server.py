"""HTTP server that limits the number of its connections.

Tornado limits the size and the duration of requests, but not the number of
connections. The first request of a connection over the limit is refused with
the reason ``connection_limit``, and the connection is closed. Callers can thus
distinguish a host at its limit from a host that has failed.
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

# Number of connections over the limit whose requests are answered with a
# refusal. Further connections are closed without an answer.
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
        Maximum number of open connections; None for no limit.
    header_timeout_s
        Timeout for the headers of the first request of a connection.
    """

    limit_count: int | None
    header_timeout_s: float


@final
class BoundedServer(HTTPServer):
    """Tracks its connections in the hooks that Tornado calls."""

    def limit_connections(self, bounds: ConnectionBounds) -> None:
        """Set the limits; must be called once, before listening."""
        self._bounds = bounds
        self._admitted: set[object] = set()
        self._excess: set[object] = set()

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the delegate that handles the next request of a connection."""
        is_first = self._admit(server_conn)
        if server_conn in self._excess:
            delegate: HTTPMessageDelegate = _RefusalDelegate(
                request_conn,
                self._bounds.limit_count or 0,
            )
        else:
            delegate = super().start_request(server_conn, request_conn)
        if is_first and isinstance(server_conn, HTTP1ServerConnection):
            return _HeaderTimeoutDelegate(
                delegate,
                server_conn,
                self._bounds.header_timeout_s,
            )
        return delegate

    def on_close(self, server_conn: object) -> None:
        """Stop tracking a closed connection."""
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


class _HeaderTimeoutDelegate(HTTPMessageDelegate):
    """Closes a connection whose first headers do not arrive in time.

    Tornado has a single timeout for headers and for idle connections. It must
    be long, because callers reuse connections that were idle for a while.
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


class _RefusalDelegate(HTTPMessageDelegate):
    """Reads a request without storing its body and refuses it."""

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
