"""Steps of access.feature."""

import asyncio
import json
import pathlib
import socket
import subprocess
import sys
from collections.abc import Mapping
from http import HTTPStatus
from http.client import HTTPConnection
from types import MappingProxyType
from typing import Any, Final

import aiohttp
from behave import given, then, when

from features.access_builders import (
    CONNECTION_LIMIT_COUNT,
    build_message,
    build_partial_request,
    build_secret,
    read_to_end,
    read_status,
)
from features.live_deployment import LiveDeployment
from features.restarted_hosts import restart_hosts
from loadtool.deployment import OPERATOR_SECRET, PEER_SECRET
from mimosapond.completed import Completed
from mimosapond.secret_check import SECRET_HEADER

_LIMITS: Final[Mapping[str, Any]] = MappingProxyType(
    {
        'header_timeout_s': 0.5,
        'idle_timeout_s': 1,
        'caller_connection_limit_count': CONNECTION_LIMIT_COUNT,
        'log_level': 'DEBUG',
    }
)
_TIMEOUT_S: Final = 20
_DEPLOYMENT_ATTRIBUTE: Final = 'access_deployment'


@given('access is tried at a host with small limits')
def start(context: Any) -> None:
    """Start the processes at the first scenario of the feature."""
    live = getattr(context.feature, _DEPLOYMENT_ATTRIBUTE, None)
    if live is None:
        live = LiveDeployment(1, is_proxied=False)
        context.add_cleanup(live.close, layer='feature')
        live.run(restart_hosts(live, _LIMITS))
        setattr(context.feature, _DEPLOYMENT_ATTRIBUTE, live)
    context.live = live


def store_answer(
    context: Any,
    connection: HTTPConnection,
    path: str,
    headers: Mapping[str, Any],
) -> None:
    """Send one request and store the status and body of the answer."""
    connection.request('GET', path, headers=headers)
    answer = connection.getresponse()
    context.status = answer.status
    context.answer = json.loads(answer.read())
    connection.close()


@when('access to the operator path "{path}" is tried with {secret}')
def call_operator(context: Any, path: str, secret: str) -> None:
    """Send one request to the operator listener."""
    address = context.live.host(0).operator_address
    connection = HTTPConnection(address, timeout=_TIMEOUT_S)
    headers = {SECRET_HEADER: build_secret(secret, OPERATOR_SECRET)}
    store_answer(context, connection, path, headers)


@when('access as a peer is tried with {secret}')
def open_peer_link(context: Any, secret: str) -> None:
    """Try to upgrade a connection to the peer listener to a WebSocket."""

    connection = HTTPConnection(
        context.live.host(0).peer_address,
        timeout=_TIMEOUT_S,
    )
    headers = {
        SECRET_HEADER: build_secret(secret, PEER_SECRET),
        'Upgrade': 'websocket',
        'Connection': 'Upgrade',
        'Sec-WebSocket-Version': '13',
        'Sec-WebSocket-Key': 'dGhlIHNhbXBsZSBub25jZQ==',
    }
    store_answer(context, connection, '/peer', headers)


@then('access is answered {status:d} and "{reason}"')
def check_answer(context: Any, status: int, reason: str) -> None:
    """Check the status and the reason; there must be a remedy."""
    assert context.status == status, (context.status, context.answer)
    assert context.answer['reason'] == reason, context.answer
    assert context.answer['remedy'], context.answer


async def exchange(live: LiveDeployment, text: str) -> aiohttp.WSMessage:
    """Send one message; a connection error counts as a closed link."""
    try:
        return await send_once(live, text)
    except (aiohttp.ClientError, ConnectionError):
        return aiohttp.WSMessage(aiohttp.WSMsgType.CLOSED, None, None)


async def send_once(live: LiveDeployment, text: str) -> aiohttp.WSMessage:
    """Send one message over a new peer link and return the answer."""
    url = f'ws://{live.host(0).peer_address}/peer'
    headers = {SECRET_HEADER: PEER_SECRET}
    async with (
        asyncio.timeout(_TIMEOUT_S),
        aiohttp.ClientSession() as session,
        session.ws_connect(url, headers=headers) as link,
    ):
        await link.send_str(text)
        return await link.receive()


@when('access as a peer sends {message}')
@when('access as a peer calls {message}')
def send_message(context: Any, message: str) -> None:
    """Send a malformed message or call."""
    text = build_message(message)
    context.received = context.live.run(exchange(context.live, text))


@then('the access link is closed with code {code:d}')
def check_closed(context: Any, code: int) -> None:
    """Check the close code."""
    assert context.received.type is aiohttp.WSMsgType.CLOSE, context.received
    assert context.received.data == code, context.received


@then('the access link is closed')
def check_ended(context: Any) -> None:
    """Accept a close message or a reset, because both end the link."""
    closed = (aiohttp.WSMsgType.CLOSE, aiohttp.WSMsgType.CLOSED)
    assert context.received.type in closed, context.received


@then('the access call is answered with status "{status}"')
def check_call(context: Any, status: str) -> None:
    """Check the status and the call id."""
    answer = json.loads(context.received.data)
    assert answer['status'] == status, answer
    assert answer['call_id'] == 1, answer


@then('access as a caller still works')
def check_caller(context: Any) -> None:
    """Run a write through the caller listener."""
    live: LiveDeployment = context.live
    request = live.requests.insert(live.workspace, live.row_id())
    address = live.host(0).caller_address
    outcome = live.run(live.client.run(address, request))
    assert isinstance(outcome, Completed), outcome


def connect(context: Any) -> socket.socket:
    """Open a connection to the caller listener."""
    host, port = context.live.host(0).caller_address.split(':')
    connection = socket.create_connection((host, int(port)), timeout=_TIMEOUT_S)
    context.add_cleanup(connection.close)
    return connection


@when('access sends {text} and then waits')
def send_part(context: Any, text: str) -> None:
    """Send the part of a request that a table cell describes."""
    context.connection = connect(context)
    context.connection.sendall(build_partial_request(text))


@then('the access connection is closed by the host')
def check_end(context: Any) -> None:
    """Read to the end; a connection that stays open raises a timeout."""
    try:
        read_to_end(context.connection)
    except ConnectionResetError:
        return


@when('access opens connections up to the limit and one more')
def fill_listener(context: Any) -> None:
    """Send a whole request on each connection and leave it open."""
    context.live.run(context.live.client.close())
    context.allowed = [connect(context) for _ in range(CONNECTION_LIMIT_COUNT)]
    for connection in context.allowed:
        connection.sendall(build_partial_request('a whole request'))
        assert read_status(connection) == HTTPStatus.NOT_FOUND
    context.excess = connect(context)
    context.excess.sendall(build_partial_request('a whole request'))


@then('access over the limit is refused as {reason} and closed')
def check_excess(context: Any, reason: str) -> None:
    """Read the answer to the end of the connection."""
    received = read_to_end(context.excess)
    head, _, body = received.partition(b'\r\n\r\n')
    assert b' 503 ' in head.splitlines()[0], head
    assert json.loads(body)['reason'] == reason, body


@then('access works again after one connection was closed')
def check_recovery(context: Any) -> None:
    """Close a connection and retry until the host has detected the close."""
    context.allowed[0].close()
    for _ in range(_TIMEOUT_S):
        connection = connect(context)
        connection.sendall(build_partial_request('a whole request'))
        if read_status(connection) == HTTPStatus.NOT_FOUND:
            return
    raise AssertionError('connections are still refused')


@when('access to an address that is in use is started as a second host')
def start_twice(context: Any) -> None:
    """Start the daemon with the settings of the running host."""
    folder = context.live.deployment.processes.folder
    context.daemon = subprocess.run(
        (
            sys.executable,
            *('-m', 'mimosapond.daemon'),
            f'--settings={folder / "host-0.yaml"}',
        ),
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )


@then(
    'the access daemon exits with code {code:d} and names listener and remedy'
)
def check_daemon(context: Any, code: int) -> None:
    """Check the exit code and the error output."""
    address = context.live.host(0).caller_address
    error = context.daemon.stderr
    assert context.daemon.returncode == code, error
    assert f'callers at {address}: Address already in use' in error, error
    assert 'remedy: ' in error, error
    assert 'Traceback' not in error, error


@when('access of all kinds has been tried')
def try_all(context: Any) -> None:
    """Send right and wrong secrets, also in requests that cause errors."""
    call_operator(context, '/v1/status', 'the right secret')
    call_operator(context, f'/{OPERATOR_SECRET}', 'the right secret')
    open_peer_link(context, 'the operator secret')
    call = {'secret': PEER_SECRET, 'note': f'it is {PEER_SECRET}'}
    text = json.dumps({'call_id': 1, 'op': 'run', 'body': call})
    context.live.run(exchange(context.live, text))


@then('no access secret is in the output of any process')
def search_output(context: Any) -> None:
    """Search all output files; the host must have logged at level DEBUG."""
    folder: pathlib.Path = context.live.deployment.processes.folder
    texts = {path.name: path.read_text() for path in folder.glob('*.log')}
    assert 'operation_failed' in texts['host-0.log'], 'no DEBUG output'
    for name, text in texts.items():
        assert PEER_SECRET not in text, name
        assert OPERATOR_SECRET not in text, name
