"""Steps of platform_wire.feature."""

import asyncio
import json
import pathlib
import socket
import tempfile
from typing import Any, Final

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from tornado.httpclient import AsyncHTTPClient
from tornado.netutil import bind_sockets

from features.group_builders import build_world
from features.product_builders import build_host_settings_text
from features.scripted_member import ScriptedMember
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.entry.caller_listener import open_caller_listener
from mimosapond.entry.host_settings import HostSettings, load_host_settings
from mimosapond.entry.readiness_server import build_readiness_server
from mimosapond.file_problem import InvalidFile
from mimosapond.groups.member_answer import Rejected
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.member_status import MemberStatus
from mimosapond.platform.caller_server import CallerServer
from mimosapond.platform.member_dialer import WireMemberDialer
from mimosapond.platform.registration_codec import decode_registration
from mimosapond.platform.statement_codec import decode_statement
from mimosapond.statements.statement import DirectStatement

_LIMIT_S: Final = 0.3
_SETTLE_S: Final = 0.1
_MIB: Final = 1024 * 1024
_LOOPBACK: Final = '127.0.0.1'
_READY: Final = 'READY I 3.1/'


_STATEMENT_WORDS: Final = st.sampled_from(
    ('READ', 'WRITE', 'EXECUTE', 'PARSE', 'SET')
)


@for_all(st.tuples(_STATEMENT_WORDS, st.text()).map(' '.join) | st.text())
def _check_decodes(text: str) -> None:
    statement = decode_statement(text)
    if isinstance(statement, DirectStatement):
        assert statement.text == text


@when('the text {text} is decoded')
def decode_text(context: Any, text: str) -> None:
    """Decode the text of one statement."""
    context.statement = decode_statement(text)


@then('the statement is {expected}')
def check_statement(context: Any, expected: str) -> None:
    """Compare the repr of the statement; any MalformedStatement is equal."""
    found = repr(context.statement)
    if expected == 'MalformedStatement':
        assert found.startswith('MalformedStatement('), found
    else:
        assert found == expected, found


@then('any text can be decoded, and a read or a write keeps its text')
def check_any_text(context: Any) -> None:
    """Decode texts that hypothesis generates."""
    _check_decodes()


@when('the registration {entry} is decoded')
def decode_entry(context: Any, entry: str) -> None:
    """Decode a registration of the member i-1."""
    context.record = decode_registration('i-1', entry.encode())


@then('the registration is {verdict}')
def check_registration(context: Any, verdict: str) -> None:
    """Check for a reason (refused), or a record and whether it leaves."""
    record = context.record
    if verdict == 'refused':
        assert isinstance(record, str), record
        return
    assert isinstance(record, MemberRecord), record
    assert record.is_leaving == (verdict == 'leaving')


@when('a member answers {answer} to a read')
def read_from_member(context: Any, answer: str) -> None:
    """Send a read to a member that gives the answer."""
    read = DirectStatement('READ 1', is_write=False)
    result, is_open = asyncio.run(
        _call_member(
            answer,
            lambda connection: connection.run('r1', read, None, _LIMIT_S),
        )
    )
    context.answer = result
    context.is_open = is_open


@when('a member reports the status {row}')
def ask_status(context: Any, row: str) -> None:
    """Request the status of a member that reports the row."""
    answer = f'DATAROW {row}/COMPLETE -/READY I 3.1/'
    result, is_open = asyncio.run(
        _call_member(answer, lambda connection: connection.status(_LIMIT_S))
    )
    context.answer = result
    context.is_open = is_open


async def _call_member(answer: str, call: Any) -> tuple[Any, bool]:
    """Return the result of a call, and whether the connection stayed open."""
    server = ScriptedMember([_READY, answer])
    sockets = bind_sockets(0, _LOOPBACK)
    server.add_sockets(sockets)
    record = MemberRecord(
        member_id='i-1',
        group='orders',
        ip=_LOOPBACK,
        port=sockets[0].getsockname()[1],
        data_centre='centre-a',
        is_leaving=False,
        reports_primary=False,
    )
    connection = await WireMemberDialer(_LIMIT_S, _LIMIT_S).dial(record)
    result = await call(connection)
    is_open = connection.is_open
    connection.close()
    server.stop()
    assert server.received[0] == 'START orders mimosapond i-1'
    return result, is_open


@then('the answer is {outcome}')
def check_answer(context: Any, outcome: str) -> None:
    """Compare the type of the answer, or the kind of a rejection."""
    answer = context.answer
    found = type(answer).__name__
    if isinstance(answer, Rejected):
        found = answer.kind.value
    assert found == outcome, answer


@then('the connection is {state}')
def check_connection(context: Any, state: str) -> None:
    """Check whether the connection stayed open after the answer."""
    assert context.is_open == (state == 'open')


@then('the reported status is {status}')
def check_status(context: Any, status: str) -> None:
    """Compare the role and the log position."""
    answer = context.answer
    if status == 'unreadable':
        assert not isinstance(answer, MemberStatus), answer
        return
    role = 'primary' if answer.is_primary else 'replica'
    assert f'{role} {answer.received}' == status, answer


@given('a host that listens for callers')
def listen(context: Any) -> None:
    """Build the session registry; the when step opens the connections."""
    context.registry = SessionRegistry(build_world().services)


@given('another caller with an open session')
def note_other(context: Any) -> None:
    """Do nothing; ``send_lines`` opens this session in its event loop."""
    context.has_other = True


@when('a caller sends {lines}')
def send_lines(context: Any, lines: str) -> None:
    """Send the lines and collect what both callers receive."""
    received, other_received = asyncio.run(_exchange(context.registry, lines))
    context.received = received
    context.other_received = other_received


async def _exchange(
    registry: SessionRegistry, lines: str
) -> tuple[bytes, bytes]:
    """Return what the caller received, and what the other caller did."""
    server = CallerServer(registry)
    sockets = bind_sockets(0, _LOOPBACK)
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    other_reader, other_writer = await asyncio.open_connection(_LOOPBACK, port)
    other_writer.write(b'START book other\r\n')
    await other_reader.readline()
    reader, writer = await asyncio.open_connection(_LOOPBACK, port)
    writer.write(_encode(lines))
    received = await _read_all(reader)
    other_writer.write(b'QUERY 1 SET a b\r\n')
    other_received = await other_reader.readline()
    writer.close()
    other_writer.close()
    server.stop()
    await asyncio.sleep(_SETTLE_S)
    return received, other_received


async def _read_all(reader: asyncio.StreamReader) -> bytes:
    received = bytearray()
    try:
        async with asyncio.timeout(_LIMIT_S):
            while not reader.at_eof():
                received += await reader.read(_MIB)
    except (TimeoutError, ConnectionResetError):
        return bytes(received)
    return bytes(received)


def _encode(lines: str) -> bytes:
    text = lines.replace('a line of 1.5 MiB', 'x' * (_MIB + _MIB // 2))
    text = text.replace('a line of 3 MiB', 'x' * 3 * _MIB)
    encoded = text.replace('/', '\r\n').encode()
    return encoded.replace(rb'\xff\xfe', b'\xff\xfe')


@then('the caller gets {answer}')
def check_got(context: Any, answer: str) -> None:
    """Compare the beginning only, since the texts of errors may change."""
    received = context.received.decode().replace('\r\n', '/')
    assert received.startswith(answer), json.dumps(received)


@then('the other caller is still served')
def check_other(context: Any) -> None:
    """Check that the other caller's statement is answered."""
    assert context.other_received == b'COMPLETE -\r\n', (
        context.received,
        context.other_received,
    )


@when('the host settings are {text}')
def load_settings(context: Any, text: str) -> None:
    """Write a settings file and load it; ``missing`` writes none."""
    change = text.removeprefix('complete').removeprefix(', with ')
    if text.startswith('complete'):
        text = build_host_settings_text(change)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'settings.yaml'
        if text != 'missing':
            path.write_text(text, encoding='utf-8')
        context.settings = load_host_settings(path)


@then('the host settings are accepted')
def check_accepted(context: Any) -> None:
    """Check that the settings were loaded."""
    assert isinstance(context.settings, HostSettings), context.settings


@then('the host settings are faulty: {problem}')
def check_faulty(context: Any, problem: str) -> None:
    """Check that one of the reported problems contains the text."""
    assert isinstance(context.settings, InvalidFile), context.settings
    texts = [str(each) for each in context.settings.problems]
    assert any(problem in text for text in texts), texts


@when('a host that is {state} gets {method} {path}')
def ask_ready(context: Any, state: str, method: str, path: str) -> None:
    """Send an HTTP request to the ready server, as the load balancer does."""
    context.status = asyncio.run(_ask_ready(state == 'ready', method, path))


async def _ask_ready(is_ready: bool, method: str, path: str) -> int:
    server = build_readiness_server('/api/ready', lambda: is_ready)
    sockets = bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    body = b'' if method == 'POST' else None
    response = await AsyncHTTPClient(force_instance=True).fetch(
        f'http://127.0.0.1:{port}{path}',
        method=method,
        body=body,
        raise_error=False,
    )
    server.stop()
    return response.code


@then('the ready server answers {status:d}')
def check_ready_status(context: Any, status: int) -> None:
    """Compare the HTTP status."""
    assert context.status == status, context.status


@when('a host opens its port for callers')
def open_port(context: Any) -> None:
    """Open the listener at a free port."""
    context.listener = open_caller_listener(f'{_LOOPBACK}:0')
    context.add_cleanup(context.listener.close)


@then('callers can connect before the host accepts connections')
def check_connect(context: Any) -> None:
    """Connect while nobody accepts; the listener must be non-blocking."""
    address = context.listener.getsockname()
    with socket.create_connection(address, timeout=_LIMIT_S):
        assert not context.listener.getblocking()
