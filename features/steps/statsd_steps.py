"""Steps of statsd.feature."""

import asyncio
import json
import re
import socket
import time
from typing import Any, Final

import attrs
from behave import given, then, when

from features.code_names import is_listed, read_rows
from features.live_deployment import LiveDeployment
from features.product_builders import ROOT
from features.restarted_hosts import restart_hosts
from mimosapond.access_mode import AccessMode
from mimosapond.completed import Completed
from mimosapond.outcome_query import OutcomeQuery
from mimosapond.statement_request import StatementRequest
from mimosapond.transaction_call import TransactionCall
from mimosapond.work_class import WorkClass

_DEPLOYMENT_ATTRIBUTE: Final = 'metrics_deployment'
_WAIT_S: Final = 20
_POLL_S: Final = 0.1
_PACKET_BYTES: Final = 4096
_METRIC: Final = re.compile(r'mimosapond\.([a-z_.]+):[-+0-9.e]+\|(c|g|ms)')
_FIELDS: Final = frozenset(('request_id', 'group', 'reason', 'host_id'))
_OWNER_EVENTS: Final = frozenset(
    ('slot_granted', 'slot_refused', 'read_refused', 'write_unconfirmed'),
)
_UNKNOWN_WORKSPACE: Final = 'an unknown workspace'


@given('metrics of {count:d} hosts are sent to a sink')
def start(context: Any, count: int) -> None:
    """Start the processes at the first scenario of the feature."""
    live = getattr(context.feature, _DEPLOYMENT_ATTRIBUTE, None)
    if live is None:
        sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sink.bind(('127.0.0.1', 0))
        sink.settimeout(_POLL_S)
        context.feature.sink = sink
        context.add_cleanup(sink.close, layer='feature')
        live = LiveDeployment(count, is_proxied=False)
        context.add_cleanup(live.close, layer='feature')
        address = f'127.0.0.1:{sink.getsockname()[1]}'
        settings = {'statsd_address': address, 'log_level': 'INFO'}
        live.run(restart_hosts(live, settings))
        setattr(context.feature, _DEPLOYMENT_ATTRIBUTE, live)
    context.live = live


def build_request(live: LiveDeployment, name: str) -> StatementRequest:
    """Build the request that a table cell describes."""
    row_id = live.row_id()
    write = live.requests.insert(live.workspace, row_id)
    read = live.requests.count(live.workspace, row_id)
    match name:
        case 'an urgent write':
            return attrs.evolve(
                write,
                work_class=WorkClass.URGENT,
                deadline_ms=_WAIT_S * 1000,
            )
        case 'a read':
            return read
        case 'a read of the newest data':
            return attrs.evolve(read, max_age_ms=0)
        case 'a read with its session':
            return attrs.evolve(read, session_id=row_id)
        case 'an unknown workspace':
            return attrs.evolve(write, workspace='absent')
        case _:
            return write


async def run_one(live: LiveDeployment, name: str, index: int) -> str:
    """Run the request that a table cell describes and return its id."""
    address = live.host(index).caller_address
    request = build_request(live, name)
    request_id = request.request_id
    if name == 'a settled outcome':
        query = OutcomeQuery(request.service, request.workspace, request_id)
        await live.client.settle(address, query)
    elif name == 'a committed transaction':
        await commit_one(live, address, request)
    else:
        outcome = await live.client.run(address, request)
        is_valid = name != _UNKNOWN_WORKSPACE
        assert isinstance(outcome, Completed) == is_valid, outcome
    return request_id


async def commit_one(
    live: LiveDeployment,
    address: str,
    request: StatementRequest,
) -> None:
    """Begin a transaction and commit it."""
    begun = await live.client.begin(address, request)
    assert isinstance(begun, Completed), begun
    committed = await live.client.transact(
        address,
        begun.transaction_id or '',
        'commit',
        TransactionCall(request.request_id),
    )
    assert isinstance(committed, Completed), committed


@when('metrics are caused by writes, reads, a refusal and a platform outage')
def cause_metrics(context: Any) -> None:
    """Run requests of each kind through every host; stop the platform."""
    context.live.run(cause_all(context.live))


async def cause_all(live: LiveDeployment) -> None:
    """Run requests of each kind through every host; stop the platform."""
    for index in range(3):
        for name in ('a write', 'an urgent write', 'a read'):
            await run_one(live, name, index)
        await run_one(live, 'a read of the newest data', index)
        invalid = live.requests.build(
            live.workspace,
            AccessMode.READ,
            attrs.evolve(build_request(live, 'a read').statements[0], sql='x'),
        )
        await live.client.run(live.host(index).caller_address, invalid)
    await live.deployment.set_platform_faults(down=True)


@then('the metrics received include')
def check_received(context: Any) -> None:
    """Read the sink until all metrics of the table were received."""
    expected = {(row['name'], row['type']) for row in context.table}
    received: set[tuple[str, str]] = set()
    deadline_s = time.monotonic() + _WAIT_S
    while not expected <= received and time.monotonic() < deadline_s:
        received.update(read_sink(context.feature.sink))
    context.live.run(context.live.deployment.set_platform_faults(down=False))
    context.received = received
    assert expected <= received, expected - received


def read_sink(sink: socket.socket) -> list[tuple[str, str]]:
    """Return name and type of the metrics in one packet.

    The list is empty if no packet arrives before the timeout of the socket.
    """
    try:
        packet = sink.recv(_PACKET_BYTES).decode()
    except TimeoutError:
        return []
    matches = [_METRIC.fullmatch(line) for line in packet.splitlines()]
    assert all(matches), packet
    return [(match[1], match[2]) for match in matches if match]


@then('each of the metrics received has a row in docs/metrics.md')
def check_documented(context: Any) -> None:
    """Compare with the rows, whose placeholders match any word."""
    page = (ROOT / 'docs' / 'metrics.md').read_text(encoding='utf-8')
    rows = frozenset(re.sub('<[a-z_]+>', '<>', row) for row in read_rows(page))
    for name, _kind in context.received:
        matches = [row for row in rows if is_listed(row, frozenset((name,)))]
        assert matches, name


@when('metrics hosts run {request} through host {index:d}')
def run_request(context: Any, request: str, index: int) -> None:
    """Run the request and store its id."""
    work = run_one(context.live, request, index)
    context.request_id = context.live.run(work)
    context.entry = context.live.host(index).name


@then('the decision log of the metrics hosts for it includes {events}')
def check_lines(context: Any, events: str) -> None:
    """Wait for the log lines, then check their fields and their hosts."""
    expected = set(events.split())
    lines = context.live.run(await_lines(context, expected))
    assert {line['event'] for line in lines} >= expected, lines
    for line in lines:
        is_refusal = line['event'] == 'request_refused'
        missing = _FIELDS - line.keys()
        assert not missing - {'group'}, line
        assert is_refusal or not missing, line
        is_at_entry = line['event'] not in _OWNER_EVENTS
        is_own = line['host_id'].startswith(f'{context.entry}.')
        assert is_own or not is_at_entry, line
        assert is_refusal or line.get('member') or line['transaction_id']
        assert 'term' in line or is_refusal or line['transaction_id'], line


async def await_lines(context: Any, expected: set[str]) -> list[Any]:
    """Read the logs of all hosts until they contain the events.

    Returns
    -------
    list
        The log lines of the request, even if an event is missing.
    """
    lines: list[Any] = []
    for _ in range(int(_WAIT_S / _POLL_S)):
        lines = read_lines(context.live, context.request_id)
        if {line['event'] for line in lines} >= expected:
            break
        await asyncio.sleep(_POLL_S)
    return lines


def read_lines(live: LiveDeployment, request_id: str) -> list[Any]:
    """Return the log lines of all hosts that contain a request id."""
    folder = live.deployment.processes.folder
    texts = [path.read_text() for path in sorted(folder.glob('host-*.log'))]
    return [
        json.loads(line)
        for text in texts
        for line in text.splitlines()
        if request_id in line
    ]


@then('the metrics hosts sent it to the primary only')
def check_primary_only(context: Any) -> None:
    """Compare the reasons of its routes."""
    lines = read_lines(context.live, context.request_id)
    reasons = [
        line['reason'] for line in lines if line['event'] == 'route_read'
    ]
    assert reasons == ['primary'], lines


@given('metrics host {index:d} reports no reads forced to the primary')
def clear_forced(context: Any, index: int) -> None:
    """Run reads that accept stale data until a replica has served one."""
    context.live.run(clear_degraded_path(context.live, index))


async def clear_degraded_path(live: LiveDeployment, index: int) -> None:
    """Run reads until the path is no longer degraded."""
    async with asyncio.timeout(_WAIT_S):
        await run_one(live, 'a read', index)
        while await is_forced(live, index):
            await run_one(live, 'a read', index)


async def is_forced(live: LiveDeployment, index: int) -> bool:
    """Tell whether a host reports reads that are forced to the primary."""
    status = await live.deployment.status(live.host(index))
    return any('reads_forced' in path for path in status['degraded'])


@then('metrics host {index:d} still reports no reads forced to the primary')
def check_not_forced(context: Any, index: int) -> None:
    """Check that the degraded path was not entered in the meantime."""
    assert not context.live.run(is_forced(context.live, index))
