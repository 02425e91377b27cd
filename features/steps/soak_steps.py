"""Steps of soak.feature."""

import asyncio
import json
import pathlib
import tempfile
from typing import Any, Final

from behave import given, then, when

from features.soak_fakes import WrongHost
from soak.caller_link import CallerLink
from soak.caller_session import CallerSession, now_s
from soak.caller_world import CallerWorld
from soak.fault_schedule import build_schedule
from soak.history import History, Write
from soak.layout import HostPlace
from soak.log_scan import find_errors
from soak.plan import SoakPlan
from soak.route_kind import RouteKind
from soak.soak_run import SoakRun
from soak.violation import ViolationLog

_SEED: Final = 5
_LEVELS: Final = ('INFO', 'WARNING', 'ERROR')
_PAUSE_S: Final = 0.05
_HOST: Final = HostPlace('wrong', '127.0.0.1', 'a', 0)


@when(
    'a live test of {duration_s:d} s runs with {hosts:d} hosts, '
    '{groups:d} groups and {callers:d} callers',
)
def run_live_test(
    context: Any, duration_s: int, hosts: int, groups: int, callers: int
) -> None:
    """Run it with a folder that is kept for a look at its logs."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{_SEED}-'))
    plan = SoakPlan(_SEED, duration_s, hosts, groups, callers)
    context.folder = folder
    context.result = asyncio.run(SoakRun(plan, folder).run())


@then('it finds no broken rule')
def check_none(context: Any) -> None:
    """Print what was found, with the seed and the logs."""
    found = '\n'.join(str(each) for each in context.result.violations)
    assert not found, f'seed {_SEED}, logs in {context.folder}\n{found}'


@then('its callers wrote and hosts were disturbed')
def check_activity(context: Any) -> None:
    """Require that the test did something."""
    counts = context.result.counts
    assert counts['acknowledged writes'] > 100, counts
    assert counts['COMMIT done'] > 100, counts
    log = (context.folder / 'host-0.log').read_text()
    assert log.count('host_started') > 1, 'host-0 was never restarted'


@given('a host whose answers are {manner}')
def choose_manner(context: Any, manner: str) -> None:
    """Remember how the answers are wrong."""
    context.host = WrongHost(manner)
    context.violations = ViolationLog()


@when('a caller reads, writes and reads again')
def call(context: Any) -> None:
    """Make the three requests."""
    asyncio.run(_call(context.host, context.violations))


async def _call(host: WrongHost, violations: ViolationLog) -> None:
    server = await host.start()
    port = server.sockets[0].getsockname()[1]
    link = await CallerLink.open(_HOST.ip, port, 'any')
    assert link is not None
    world = CallerWorld(_SEED, violations)
    session = CallerSession('s1', link, _HOST, RouteKind.primary, world)
    await session.read({}, now_s())
    write, _ = await session.write()
    world.history.acknowledge((write,), now_s())
    await asyncio.sleep(_PAUSE_S)
    await session.read({}, now_s())
    link.close()
    server.close()


@given('a write that was {told} and is kept {count:d} times')
def keep_write(context: Any, told: str, count: int) -> None:
    """Compare the history with what is kept."""
    context.violations = ViolationLog()
    history = History()
    write = Write('s1.t0.1', 's1.0', 1)
    if told == 'acknowledged':
        history.acknowledge((write,), now_s())
    else:
        history.deny((write,), told)
    history.check_kept({write.request_id: count}, context.violations)


@then('the broken rules found are {rules}')
def check_rules(context: Any, rules: str) -> None:
    """Compare the rules, each counted once."""
    found = {violation.rule for violation in context.violations.found}
    expected = set() if rules == '-' else {rules}
    assert found == expected, context.violations.found


@given('a log with a line of each level and a line of the interpreter')
def write_log(context: Any) -> None:
    """Write the log."""
    lines = [json.dumps({'level': level}) for level in _LEVELS]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'host.log'
        path.write_text('\n'.join([*lines, 'Traceback']), encoding='utf-8')
        context.errors = list(find_errors(path))


@then(
    'the errors found are the line of level ERROR and that of the interpreter',
)
def check_errors(context: Any) -> None:
    """Compare the lines."""
    assert context.errors == ['{"level": "ERROR"}', 'Traceback']


@then(
    'seed {first:d} gives the same faults twice and seed {other:d} gives '
    'others',
)
def check_schedule(context: Any, first: int, other: int) -> None:
    """Compare the schedules."""
    faults = build_schedule(SoakPlan(first))
    assert faults and faults == build_schedule(SoakPlan(first))
    assert faults != build_schedule(SoakPlan(other))
