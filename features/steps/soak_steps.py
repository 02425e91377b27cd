"""Steps of soak.feature."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import tempfile
import time
from typing import Any, Final
from unittest import mock

import attrs
from behave import given, then, when
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from features.soak_fakes import FaultyHost, PromotedHandler
from mimosapond.address_resolver import AddressResolver
from soak.balancer import Balancer
from soak.caller_connection import CallerConnection
from soak.caller_session import CallerSession, now_s
from soak.disruption_log import DisruptionLog
from soak.fault_schedule import build_schedule
from soak.history import History, Write
from soak.host_process import OWN_IP_VARIABLE, resolve_via_proxy
from soak.layout import HostLayout, Layout, link_name
from soak.log_scan import find_errors
from soak.plan import SoakPlan
from soak.promotion_check import check_promotions
from soak.route_kind import RouteKind
from soak.shared_state import SharedState
from soak.soak_run import SoakRun
from soak.unanswered_check import UnansweredCheck, UnansweredRequest
from soak.violation import ViolationLog
from standins.database_group.promotion_call import PromotionCall
from standins.database_group.promotion_record import (
    LostCommit,
    PromotionRecord,
)
from standins.platform_services.promotion_service import PromotionService
from standins.platform_services.store_fault import StoreFault

_SEED: Final = 5
_LEVELS: Final = ('INFO', 'WARNING', 'ERROR')
_PAUSE_S: Final = 0.05
# Delay of a late call, well above the pauses before the call that overtakes it.
_LATE_S: Final = 0.5
_MS_PER_S: Final = 1000
_HOST: Final = HostLayout('wrong', '127.0.0.1', 'a', 0)


@when(
    'a live test of {duration_s:d} s runs with {hosts:d} hosts, '
    '{groups:d} groups and {callers:d} callers',
)
def run_live_test(
    context: Any, duration_s: int, hosts: int, groups: int, callers: int
) -> None:
    """Run the test with a folder that remains, so that its logs can be read."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{_SEED}-'))
    plan = SoakPlan(_SEED, duration_s, hosts, groups, callers)
    context.folder = folder
    context.result = asyncio.run(SoakRun(plan, folder).run())


@when(
    'a live test of planned work runs for {duration_s:d} s with {hosts:d} '
    'hosts, {groups:d} groups and {callers:d} callers',
)
def run_planned_test(
    context: Any, duration_s: int, hosts: int, groups: int, callers: int
) -> None:
    """Run the test with planned work only; its logs remain."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{_SEED}-'))
    plan = SoakPlan(
        _SEED, duration_s, hosts, groups, callers, is_planned_only=True
    )
    context.folder = folder
    context.result = asyncio.run(SoakRun(plan, folder).run())


@given('planned work that is {work}, after {before}')
def note_planned_work(context: Any, work: str, before: str) -> None:
    """Record the work, and a disruption that has just ended."""
    context.log = DisruptionLog()
    if before == 'a disruption':
        with context.log.disruption():
            time.sleep(_PAUSE_S)
    context.worked_s = now_s()
    match work:
        case 'a SIGTERM':
            context.log.note_stop(_HOST.name)
        case 'a SIGHUP':
            context.log.note_reload(_HOST.name)
        case _:
            context.log.note_change()


@given(
    'a request that is sent {sent_s:g} s later and ends without an answer '
    'after {open_ms:d} ms',
)
def note_unanswered(context: Any, sent_s: float, open_ms: int) -> None:
    """Build the request that is judged."""
    start_s = context.worked_s + sent_s
    end_s = start_s + open_ms / _MS_PER_S
    context.request = UnansweredRequest(
        's1.t0.1', 'READ x', _HOST.name, start_s, end_s
    )


@when('a member has {received} it')
def judge_unanswered(context: Any, received: str) -> None:
    """Judge the request."""
    context.violations = ViolationLog()
    ids = {'s1.t0.1'} if received == 'received' else set()
    check = UnansweredCheck(context.log, context.violations)
    check.check([context.request], ids)


@given(
    'the hosts 0 to {last:d} in the data centres a, b and c, of which {lost} '
    'are not ready',
)
def build_balancer(context: Any, last: int, lost: str) -> None:
    """Build a balancer that has probed the hosts."""
    layout = Layout.choose(SoakPlan(_SEED, hosts=last + 1))
    context.balancer = Balancer(layout)
    for number in [] if lost == 'none' else lost.split(', '):
        for _ in range(2):
            context.balancer.note_miss(layout.hosts[int(number)])


@then('callers of data centre a are sent to {used}')
def check_choices(context: Any, used: str) -> None:
    """Compare the hosts that many callers are sent to."""
    rng = random.Random(_SEED)
    chosen = {context.balancer.of('a').choose(rng).name for _ in range(100)}
    assert chosen == {f'host-{each}' for each in used.split(', ')}, chosen


@then('it finds no broken rule')
def check_none(context: Any) -> None:
    """Require no violation; a failure shows violations, seed and log folder."""
    found = '\n'.join(str(each) for each in context.result.violations)
    assert not found, f'seed {_SEED}, logs in {context.folder}\n{found}'


@then('its callers wrote and faults affected hosts')
def check_activity(context: Any) -> None:
    """Require writes, commits and the restart of a host."""
    counts = context.result.counts
    assert counts['acknowledged writes'] > 100, counts
    assert counts['COMMIT done'] > 100, counts
    log = (context.folder / 'host-0.log').read_text()
    assert log.count('host_started') > 1, 'host-0 was never restarted'


@given('a host whose answers are {manner}')
def choose_manner(context: Any, manner: str) -> None:
    """Create a host whose answers are wrong in the given manner."""
    context.host = FaultyHost(manner)
    context.violations = ViolationLog()


@when('a caller reads, writes and reads again')
def call(context: Any) -> None:
    """Send the three requests in one session."""
    asyncio.run(_call(context.host, context.violations))


async def _call(host: FaultyHost, violations: ViolationLog) -> None:
    server = await host.start()
    port = server.sockets[0].getsockname()[1]
    connection = await CallerConnection.open(_HOST.ip, port, 'any')
    assert connection is not None
    shared = SharedState(_SEED, violations)
    session = CallerSession('s1', connection, _HOST, RouteKind.primary, shared)
    await session.read({}, now_s())
    write, _ = await session.write()
    shared.history.record_acknowledged((write,), now_s())
    await asyncio.sleep(_PAUSE_S)
    await session.read({}, now_s())
    connection.close()
    server.close()


@given('a write that was {reported} and is committed {count:d} times')
def commit_write(context: Any, reported: str, count: int) -> None:
    """Compare the history with the number of commits."""
    context.violations = ViolationLog()
    history = History()
    write = Write('s1.t0.1', 's1.0', 1)
    if reported == 'acknowledged':
        history.record_acknowledged((write,), now_s())
    else:
        history.record_not_applied((write,), reported)
    history.check_committed({write.request_id: count}, context.violations)


@then('the violated rules are {rules}')
def check_rules(context: Any, rules: str) -> None:
    """Compare the set of violated rules."""
    found = {violation.rule for violation in context.violations.found}
    expected = set() if rules == '-' else {rules}
    assert found == expected, context.violations.found


@given('a log with a line of each level and a line of the interpreter')
def write_log(context: Any) -> None:
    """Search a log with one line of each level and a Python error."""
    lines = [json.dumps({'level': level}) for level in _LEVELS]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'host.log'
        path.write_text('\n'.join([*lines, 'Traceback']), encoding='utf-8')
        context.errors = list(find_errors(path))


@then(
    "the errors found are the line of level ERROR and the interpreter's line",
)
def check_errors(context: Any) -> None:
    """Compare the lines that were found."""
    assert context.errors == ['{"level": "ERROR"}', 'Traceback']


@then(
    'seed {first:d} gives the same faults twice and seed {other:d} gives '
    'different faults',
)
def check_schedule(context: Any, first: int, other: int) -> None:
    """Compare the schedules of the two seeds."""
    faults = build_schedule(SoakPlan(first))
    assert faults and faults == build_schedule(SoakPlan(first))
    assert faults != build_schedule(SoakPlan(other))


@given(
    'promotions by {hosts} that are {gap_ms:d} ms apart, '
    'with a store that is {state}'
)
def promote_in_turn(context: Any, hosts: str, gap_ms: int, state: str) -> None:
    """Call the promotion stand-in with increasing tokens."""
    context.promotion_violations = asyncio.run(
        _promote_in_turn(hosts.split(', '), gap_ms, state == 'disturbed')
    )


async def _promote_in_turn(
    hosts: list[str], gap_ms: int, is_disturbed: bool
) -> list[str]:
    # No group listens at this address; only the calls are recorded.
    service = PromotionService({'g0': '127.0.0.1:1'}, 0, lambda: is_disturbed)
    address = service.server.listen('127.0.0.1')
    client = AsyncHTTPClient(force_instance=True)
    for token, host in enumerate(hosts):
        await client.fetch(
            f'http://{address}/promote',
            method='POST',
            headers={'Duty-Holder': host, 'Fence-Token': str(token)},
            body='{"service": "g0", "id": "m1"}',
            raise_error=False,
        )
        await asyncio.sleep(gap_ms / _MS_PER_S)
    service.server.close()
    return service.violations


@given('the layout of a live test with {hosts:d} hosts')
def choose_layout(context: Any, hosts: int) -> None:
    """Choose addresses and ports."""
    context.layout = Layout.choose(SoakPlan(_SEED, hosts=hosts))


@then('the store shows no member at another address')
def check_member_addresses(context: Any) -> None:
    """Compare the addresses that the store replaces with those of hosts."""
    layout = context.layout
    hosts = {f'{host.ip}:{layout.peer_port}' for host in layout.hosts}
    assert set(layout.peer_link_ports()) == hosts


@then('a connection of each host to a member opens at a link of this host')
def check_member_links(context: Any) -> None:
    """Compare the resolved addresses with the links of the fault proxy."""
    layout = context.layout
    port = layout.groups[0].members[0].port
    for host in layout.hosts:
        with mock.patch.dict(os.environ, {OWN_IP_VARIABLE: host.ip}):
            found = asyncio.run(
                resolve_via_proxy(AddressResolver(), '127.0.0.1', port)
            )
        ip, found_port = found[0][1]
        target = (f'{ip}:{found_port}', f'127.0.0.1:{port}')
        assert layout.links()[link_name(host, port)] == target


@given(
    'a commit that was reported {reported} to its caller, {when_ms:d} ms after '
    'a promotion lost it'
)
def lose_commit(context: Any, reported: str, when_ms: int) -> None:
    """Check a record of a promotion against the history of the callers."""
    context.violations = ViolationLog()
    history = History()
    effect_s = now_s()
    if reported == 'acknowledged':
        write = Write('s1.t0.1', 's1.0', 1)
        history.record_acknowledged((write,), effect_s + when_ms / _MS_PER_S)
    lost = LostCommit(('s1.t0.1',), '1.1', 'm1', effect_s, ('m3',), ('m3',))
    call = PromotionCall('m2', 'host-1', 3)
    record = PromotionRecord(call, effect_s, 2, '1.0', (lost,))
    check_promotions([attrs.asdict(record)], history, context.violations)


@given('a promotion call with token 5 that is carried out late')
def delay_call(context: Any) -> None:
    """Keep the token of the late call."""
    context.late_token = 5


@given('a call with token {token:d} meanwhile')
def call_meanwhile(context: Any, token: int) -> None:
    """Send a late call and a newer one, and collect what reaches the group."""
    context.promoted = asyncio.run(_promote_late(context.late_token, token))


async def _promote_late(late_token: int, token: int) -> list[str]:
    promoted: list[str] = []
    group = HTTPServer(
        Application([('/promote', PromotedHandler, {'promoted': promoted})])
    )
    sockets = bind_sockets(0, '127.0.0.1')
    group.add_sockets(sockets)
    service = PromotionService(
        {'g0': f'127.0.0.1:{sockets[0].getsockname()[1]}'}, 0, bool
    )
    address = service.server.listen('127.0.0.1')
    service.server.inject_fault(StoreFault.applies_late, _PAUSE_S, [], _LATE_S)
    late = asyncio.create_task(_call_promotion(address, late_token, 'late'))
    await asyncio.sleep(2 * _PAUSE_S)
    await _call_promotion(address, token, 'newer')
    await late
    service.server.close()
    group.stop()
    return promoted


async def _call_promotion(address: str, token: int, member_id: str) -> None:
    client = AsyncHTTPClient(force_instance=True)
    # A late call is carried out without an answer.
    with contextlib.suppress(HTTPClientError):
        await client.fetch(
            f'http://{address}/promote',
            method='POST',
            headers={'Duty-Holder': 'host-1', 'Fence-Token': str(token)},
            body=json.dumps({'service': 'g0', 'id': member_id}),
            request_timeout=2 * _LATE_S,
        )


@then('the group is asked to promote {promoted}')
def check_promoted(context: Any, promoted: str) -> None:
    """Compare the members in the order of the calls."""
    assert ', '.join(context.promoted) == promoted, context.promoted


@then('a schedule of "{series}" has the faults {faults}')
def check_series(context: Any, series: str, faults: str) -> None:
    """Require the manners of faults, the same ones twice for a seed."""
    plan = SoakPlan(_SEED, 300, series_names=(series,), interval_s=10)
    found = build_schedule(plan)
    assert found == build_schedule(plan)
    manners = {fault.manner for fault in found}
    assert manners.issuperset(faults.split(', ')), manners


@then('the promotion stand-in reports {count:d} violations')
def check_promotion_violations(context: Any, count: int) -> None:
    """Count the violations of the rule on one holder."""
    found = context.promotion_violations
    assert len(found) == count, found
