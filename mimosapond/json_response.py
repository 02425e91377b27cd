"""JSON responses to requests of a plain tornado HTTP server."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine


def send_json(
    request: HTTPServerRequest, status: HTTPStatus, body: Mapping[str, Any]
) -> None:
    """Send ``body`` as the JSON response to a request.

    Nothing is sent if the request has no connection any more.

    Raises
    ------
    StreamClosedError
        If the client has closed the connection.
    """
    content = json.dumps(body).encode()
    headers = HTTPHeaders(
        {
            'Content-Type': 'application/json',
            'Content-Length': str(len(content)),
        },
    )
    connection = request.connection
    if connection is None:
        return
    connection.write_headers(
        ResponseStartLine('HTTP/1.1', status, status.phrase), headers, content
    )
    connection.finish()
