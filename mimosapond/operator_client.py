"""HTTP client of the command-line tool.

It tells a request that certainly was not sent from one whose answer was lost:
after a lost answer a change may have been made.
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

# tornado's text for a time-out after the connection was made.
_DURING_REQUEST: Final = 'during request'
_NOT_SENT: Final = frozenset(
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
    """The host answered with a JSON object."""

    body: Mapping[str, Any]


@final
@attrs.frozen
class NotSent:
    """No connection; the request had no effect."""

    problem: str


@final
@attrs.frozen
class AnswerLost:
    """The request may have had its effect."""

    problem: str


CallResult: TypeAlias = Answered | NotSent | AnswerLost


@final
@attrs.frozen
class HttpCall:
    """One request.

    Attributes
    ----------
    address
        ``ip:port`` of the listener.
    path
        Already quoted.
    """

    address: str
    method: str
    path: str
    body: Mapping[str, Any] | None = None
    secret: str = attrs.field(default='', repr=False)
    timeout_s: float = 10


def run_call(call: HttpCall) -> CallResult:
    """Send the request and wait for its answer."""
    return asyncio.run(_fetch(call))


async def _fetch(call: HttpCall) -> CallResult:
    client = AsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(_request(call), raise_error=False)
    except (OSError, ValueError, HTTPClientError) as error:
        return _failure(error)
    finally:
        client.close()
    return _result(response)


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


def _failure(error: Exception) -> CallResult:
    match error:
        case socket.gaierror() | ValueError():
            return NotSent(f'not an address: {error}')
        case OSError(errno=number) if number in _NOT_SENT:
            return NotSent(str(error))
        case HTTPTimeoutError() if _DURING_REQUEST not in str(error):
            return NotSent(str(error))
        case _:
            return AnswerLost(str(error))


def _result(response: HTTPResponse) -> CallResult:
    try:
        body = json.loads(response.body)
    except ValueError:
        return AnswerLost(f'no JSON, but HTTP status {response.code}')
    if isinstance(body, dict):
        return Answered(body)
    return AnswerLost('the answer is no JSON object')
