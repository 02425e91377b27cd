"""Answers the load balancer's readiness check.

It uses Tornado's HTTP server without the web framework, because importing the
framework would lengthen the time until a restarted host serves.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    ResponseStartLine,
)


@final
class ReadinessHandler:
    """Answers 200 or 503 on one path and 404 on others, without a body."""

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        """Answer requests for ``path`` with the result of ``is_ready``.

        Parameters
        ----------
        is_ready
            Called at each request; True is answered with 200.
        """
        self._path = path
        self._is_ready = is_ready

    def __call__(self, request: HTTPServerRequest) -> None:
        """Send the response to one request."""
        status = self._status(request)
        connection = request.connection
        if connection is not None:
            connection.write_headers(
                ResponseStartLine('HTTP/1.1', status, status.phrase),
                HTTPHeaders({'Content-Length': '0'}),
            )
            connection.finish()

    def _status(self, request: HTTPServerRequest) -> HTTPStatus:
        if request.path != self._path:
            return HTTPStatus.NOT_FOUND
        if request.method != 'GET':
            return HTTPStatus.METHOD_NOT_ALLOWED
        if self._is_ready():
            return HTTPStatus.OK
        return HTTPStatus.SERVICE_UNAVAILABLE


def build_readiness_server(
    path: str, is_ready: Callable[[], bool]
) -> HTTPServer:
    """Return an HTTP server for the readiness check; it does not listen yet."""
    return HTTPServer(ReadinessHandler(path, is_ready))
