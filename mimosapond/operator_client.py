"""HTTP client of the command-line tool.

The client distinguishes a request that was certainly not sent from a request
whose answer was lost. After a lost answer, the change may have been made.
"""

import asyncio
import errno
import json
import socket
from collections.abc import Mapping
from typing import Any, Final, TypeAlias, final

import attrs
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)
from tornado.simple_httpclient import HTTPTimeoutError

from mimosapond.codec import dump_json
from mimosapond.secret_check import SECRET_HEADER

# Tornado uses this text for a timeout after the connection was established.
_DURING_REQUEST: Final = 'during request'
_NOT_SENT_ERRNOS: Final = frozenset(
    (
        errno.ECONNREFUSED,
        errno.EHOSTUNREACH,
        errno.ENETUNREACH,
        errno.EADDRNOTAVAIL,
    )
)


@final
@attrs.frozen
class Answered:
    """The host answered with the JSON object ``body``."""

    body: Mapping[str, Any]


@final
@attrs.frozen
class NotSent:
    """The connection failed, so the request was not sent and had no effect."""

    problem: str


@final
@attrs.frozen
class AnswerLost:
    """The request was sent but not answered, so it may have had an effect."""

    problem: str


CallResult: TypeAlias = Answered | NotSent | AnswerLost


@final
@attrs.frozen
class HttpCall:
    """One HTTP request.

    Attributes
    ----------
    address
        ``ip:port`` of the listener.
    path
        Path of the URL, already quoted.
    body
        Sent as JSON; None for a request without a body.
    secret
        Sent in the secret header, unless it is empty.
    timeout_s
        Timeout for the connection and for the whole request.
    """

    address: str
    method: str
    path: str
    body: Mapping[str, Any] | None = None
    secret: str = attrs.field(default='', repr=False)
    timeout_s: float = 10


def run_call(call: HttpCall) -> CallResult:
    """Send a request from a new event loop and wait for its answer."""
    return asyncio.run(_fetch(call))


async def _fetch(call: HttpCall) -> CallResult:
    client = AsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(_request(call), raise_error=False)
    except (OSError, ValueError, HTTPClientError) as error:
        return _classify_error(error)
    finally:
        client.close()
    return _parse_response(response)


def _request(call: HttpCall) -> HTTPRequest:
    headers = {SECRET_HEADER: call.secret} if call.secret else {}
    if call.body is not None:
        headers['Content-Type'] = 'application/json'
    return HTTPRequest(
        f'http://{call.address}{call.path}',
        method=call.method,
        headers=headers,
        body=None if call.body is None else dump_json(call.body),
        connect_timeout=call.timeout_s,
        request_timeout=call.timeout_s,
        follow_redirects=False,
    )


def _classify_error(error: Exception) -> CallResult:
    match error:
        case socket.gaierror() | ValueError():
            return NotSent(f'the address is invalid: {error}')
        case OSError(errno=number) if number in _NOT_SENT_ERRNOS:
            return NotSent(str(error))
        case HTTPTimeoutError() if _DURING_REQUEST not in str(error):
            return NotSent(str(error))
        case _:
            return AnswerLost(str(error))


def _parse_response(response: HTTPResponse) -> CallResult:
    try:
        body = json.loads(response.body)
    except ValueError:
        return AnswerLost(f'the answer is not JSON, status {response.code}')
    if isinstance(body, dict):
        return Answered(body)
    return AnswerLost('the answer is not a JSON object')
