"""Steps of bad_input.feature."""

import json
import time
from http.client import HTTPConnection
from typing import Any, Final

from behave import given, then, when

from features.live_deployment import LiveDeployment, use_deployment
from mimosapond import codec
from mimosapond.request_id import RequestId

_NS_PER_MS: Final = 1_000_000
_LIMIT_BYTES: Final = 1_048_576
# Exceeds the number of digits that Python converts to an integer.
_LONG_DIGIT_COUNT: Final = 5000
_NESTING_COUNT: Final = 100_000
_TIMEOUT_S: Final = 20
_STATEMENTS_PATH: Final = '/v1/statements'


def new_request_id(offset_ms: int = 0) -> str:
    """Create a request id that is ``offset_ms`` ahead of the current time."""
    now_ms = time.time_ns() // _NS_PER_MS
    return str(RequestId.create(now_ms + offset_ms))


def valid_fields(context: Any) -> dict[str, Any]:
    """Build the fields of a valid insert with a new row id."""
    live: LiveDeployment = context.live
    context.row_id = live.row_id()
    request = live.requests.insert(live.workspace, context.row_id)
    encoded = codec.encode(request)
    return {name: each for name, each in encoded.items() if each is not None}


def send(context: Any, method: str, path: str, body: bytes) -> None:
    """Send one request over the scenario's connection."""
    headers = {'Content-Type': 'application/json'}
    context.connection.request(method, path, body, headers)
    answer = context.connection.getresponse()
    context.status = answer.status
    context.answer = json.loads(answer.read())


def build_body(text: str) -> bytes:
    """Return the body that a table cell stands for."""
    call = {'request_id': new_request_id()}
    match text:
        case '@nested':
            return b'[' * _NESTING_COUNT
        case '@not-utf-8':
            return b'{"service": "\xff\xfe"}'
        case '@over-limit':
            return b' ' * (_LIMIT_BYTES + 1)
        case '@call':
            return json.dumps(call).encode()
        case '@bad-call':
            return json.dumps({**call, 'deadline_ms': -1}).encode()
        case _:
            return text.encode()


def count_in_logs(live: LiveDeployment, row_id: str) -> list[int]:
    """Count the log entries with a row id, per member."""
    names = [member.name for member in live.deployment.groups[0].members]
    logs = [live.run(live.deployment.member_log(name)) for name in names]
    return [
        sum(
            row_id in json.dumps(entry['statements'])
            for entry in log['entries']
        )
        for log in logs
    ]


@given('bad requests go to a deployment of {count:d} hosts')
def start(context: Any, count: int) -> None:
    """Start the processes once and open the scenario's connection."""
    live = use_deployment(context, count)
    context.connection = HTTPConnection(
        live.host(1).caller_address,
        timeout=_TIMEOUT_S,
    )
    context.connection.connect()
    context.socket = context.connection.sock
    context.add_cleanup(context.connection.close)


@when('the bad request {change} is sent')
def send_changed(context: Any, change: str) -> None:
    """Send a valid request with some fields changed; "-" removes a field."""
    fields = {**valid_fields(context), **json.loads(change)}
    fields.pop(fields.pop('-', ''), None)
    request_id = str(fields['request_id'])
    if request_id.startswith('@'):
        fields['request_id'] = new_request_id(int(request_id[1:]))
    if fields.get('token') == '@long':
        fields['token'] = f'forge-0:1:{"9" * _LONG_DIGIT_COUNT}'
    # Adds the row id to replaced statements, so that they are found in the log.
    for statement in fields['statements']:
        if isinstance(statement, dict) and 'absent' in str(statement):
            marked = f'{statement["sql"]} /* {context.row_id} */'
            statement['sql'] = marked
    body = json.dumps(fields).replace('Infinity', '1e999')
    send(context, 'POST', _STATEMENTS_PATH, body.encode())


@when('the bad body {body} is sent as {method} to {path}')
def send_raw(context: Any, body: str, method: str, path: str) -> None:
    """Send a body unchanged."""
    send(context, method, path, build_body(body))


@then('the bad request is answered {status:d} with {reason} about "{text}"')
def check_answer(context: Any, status: int, reason: str, text: str) -> None:
    """Compare status, reason and message; a remedy is required."""
    assert context.status == status, (context.status, context.answer)
    assert context.answer['outcome'] == 'refused', context.answer
    assert context.answer['reason'] == reason, context.answer
    assert text in context.answer['message'], context.answer
    assert context.answer['remedy'], context.answer


@then('the bad request has not run')
def check_not_run(context: Any) -> None:
    """Check that no member's log has the row id."""
    assert not any(count_in_logs(context.live, context.row_id))


@then("the bad request's connection serves a valid request")
def check_connection(context: Any) -> None:
    """Check that an insert over the same socket completes."""
    body = json.dumps(valid_fields(context)).encode()
    send(context, 'POST', _STATEMENTS_PATH, body)
    assert context.connection.sock is context.socket, 'connected again'
    assert context.answer['outcome'] == 'completed', context.answer


@then("the valid request after the bad one is in the member's log once")
def check_ran_once(context: Any) -> None:
    """Check that a member has the row exactly once."""
    assert 1 in count_in_logs(context.live, context.row_id)
