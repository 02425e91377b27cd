"""Writes the JSON answer to a request that a plain HTTP server got."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine


def send_json(
    request: HTTPServerRequest, status: HTTPStatus, body: Mapping[str, Any]
) -> None:
    """Answer a request.

    Raises
    ------
    StreamClosedError
        The other end has closed.
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
