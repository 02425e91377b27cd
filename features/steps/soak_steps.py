"""Steps of soak.feature."""

import asyncio
import json
import pathlib
import tempfile
from typing import Any, Final

from behave import given, then, when
from tornado.httpclient import AsyncHTTPClient

from features.soak_fakes import FaultyHost
from soak.caller_connection import CallerConnection
from soak.caller_session import CallerSession, now_s
from soak.fault_schedule import build_schedule
from soak.history import History, Write
from soak.layout import HostLayout
from soak.log_scan import find_errors
from soak.plan import SoakPlan
from soak.route_kind import RouteKind
from soak.shared_state import SharedState
from soak.soak_run import SoakRun
from soak.violation import ViolationLog
from standins.platform_services.promotion_service import PromotionService

_SEED: Final = 5
_LEVELS: Final = ('INFO', 'WARNING', 'ERROR')
_PAUSE_S: Final = 0.05
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


@then('the promotion stand-in reports {count:d} violations')
def check_promotion_violations(context: Any, count: int) -> None:
    """Count the violations of the rule on one holder."""
    found = context.promotion_violations
    assert len(found) == count, found
