"""Member steps of standins.feature."""

import asyncio
import json
from typing import Any

from behave import given, step, then, when

from features.standins_fakes import TIMEOUT_MS, TIMEOUT_S, StandinRig
from mimosapond.peer_results import PeerAnswered, PeerRejected, PeerResult

_READ = ({'sql': 'SELECT id FROM tally ORDER BY id'},)


def _insert(tally: str) -> list[dict[str, Any]]:
    return [{'sql': 'INSERT INTO tally VALUES (?)', 'parameters': [tally]}]


def _outcome(answer: PeerResult) -> str:
    match answer:
        case PeerAnswered():
            return 'ok'
        case PeerRejected(reason=reason):
            return reason
    return 'silent'


def _call(context: Any, link: str, op: str, **body: Any) -> str:
    context.answer = context.rig.run(context.rig.call(link, op, **body))
    return _outcome(context.answer)


def _start(context: Any, names: str, **options: Any) -> None:
    context.rig = StandinRig()
    context.add_cleanup(context.rig.close)
    context.rig.run(context.rig.start_group(names.split(), **options))


@given('a member group "{names}" without faults')
def start_group(context: Any, names: str) -> None:
    """Start members whose lock timeout exceeds any test."""
    _start(context, names, lock_timeout_ms=TIMEOUT_MS)


@given('a member group "{names}" with 2 connections')
def start_limited(context: Any, names: str) -> None:
    """Start members with few connections and one slot."""
    _start(context, names, connection_limit_count=2, slot_count=1)


@given('a member group "{names}" with a short lock timeout')
def start_with_short_lock_timeout(context: Any, names: str) -> None:
    """Start members with a lock timeout of 20 ms."""
    _start(context, names, lock_timeout_ms=20)


@step('member "{name}" granted term {term:d} to "{asker}"')
def grant_term(context: Any, name: str, term: int, asker: str) -> None:
    """Let a member adopt a term for an asker."""
    assert _call(context, name, 'adopt', term=term, asker=asker) == 'ok'


@when('member "{name}" is asked to {op} term {term:d} for "{asker}"')
def ask_member(context: Any, name: str, op: str, term: int, asker: str) -> None:
    """Call an operation with a term and keep the answer."""
    _call(context, name, op, term=term, asker=asker)


@then('the member answer is "{expected}"')
def check_answer(context: Any, expected: str) -> None:
    """Compare the outcome of the latest call."""
    assert _outcome(context.answer) == expected, context.answer


@given(
    'member connection "{link}" has an open transaction with tally "{tally}"'
)
def open_transaction(context: Any, link: str, tally: str) -> None:
    """Begin a transaction with one insert and leave it open."""
    outcome = _call(context, link, 'begin', term=1, statements=_insert(tally))
    assert outcome == 'ok', context.answer


@when('members "{names}" move to term {term:d} with primary "{primary}"')
def move_term(context: Any, names: str, term: int, primary: str) -> None:
    """Let all members adopt a term, then promote one of them."""
    for name in names.split():
        grant_term(context, name, term, 'host-1')
    outcome = _call(context, primary, 'promote', term=term, asker='host-1')
    assert outcome == 'ok', context.answer


@then('a member call "{op}" on "{link}" answers "{expected}"')
def check_call(context: Any, op: str, link: str, expected: str) -> None:
    """Make a call without statements and without a term."""
    outcome = _call(context, link, op, statements=[])
    assert outcome == expected, context.answer


@then('a member call "begin" at term {term:d} on "{link}" answers "{expected}"')
def check_begin(context: Any, term: int, link: str, expected: str) -> None:
    """Begin a transaction and compare the outcome."""
    outcome = _call(context, link, 'begin', term=term, statements=[])
    assert outcome == expected, context.answer


@step('member connection "{link}" reads tallies "{expected}"')
@step('member connection "{link}" reads tallies ""')
def check_tallies(context: Any, link: str, expected: str = '') -> None:
    """Compare the committed rows."""
    assert _call(context, link, 'read', statements=_READ) == 'ok'
    rows = context.answer.body['results'][0]['rows']
    assert [row[0] for row in rows] == expected.split(), rows


@step('tally "{tally}" is committed at term {term:d} on member "{name}"')
def commit_tally(context: Any, tally: str, term: int, name: str) -> None:
    """Commit one row in a transaction."""
    link = f'{name}/writer'
    assert _call(context, link, 'begin', term=term, statements=[]) == 'ok'
    outcome = _call(context, link, 'commit', statements=_insert(tally))
    assert outcome == 'ok', context.answer


@step('members "{names}" hold position {position:d} of term {term:d}')
def check_position(context: Any, names: str, position: int, term: int) -> None:
    """Wait until each member has reached the position."""
    for name in names.split():
        await_position(context, position, term, name, TIMEOUT_MS)
        assert _outcome(context.answer) == 'ok', context.answer


@when(
    'position {position:d} of term {term:d} is awaited on member "{name}" '
    'for {timeout_ms:d} ms',
)
def await_position(
    context: Any, position: int, term: int, name: str, timeout_ms: int
) -> None:
    """Await a position on a member and keep the answer."""
    body = {'term': term, 'position': position, 'timeout_ms': timeout_ms}
    _call(context, name, 'await_position', **body)


@step('log shipping of member "{name}" is {change}')
def pause_shipping(context: Any, name: str, change: str) -> None:
    """Pause or resume log shipping by the admin interface."""
    rig = context.rig
    settings = {'ship_paused': change == 'paused'}
    address = rig.addresses[name]
    answer = rig.run(rig.fetch(address, '/admin/settings', 'POST', settings))
    assert answer.code == 200, answer


def _log(context: Any, name: str) -> Any:
    rig = context.rig
    answer = rig.run(rig.fetch(rig.addresses[name], '/admin/log'))
    return json.loads(answer.body)


@then('members "{names}" have equal logs')
def check_logs(context: Any, names: str) -> None:
    """Compare the complete logs of the members."""
    first, *others = (_log(context, name) for name in names.split())
    assert first['entries']
    for other in others:
        assert other['entries'] == first['entries'], other


@when('3 member data connections are opened to "{name}"')
def open_connections(context: Any, name: str) -> None:
    """Open one connection more than the limit."""
    rig = context.rig
    for index in range(3):
        link = rig.run(rig.open(name, 'data'))
        rig.links[f'{name}/{index}'] = link


async def _await_close(rig: StandinRig, link_name: str) -> int | None:
    async with asyncio.timeout(TIMEOUT_S):
        while rig.links[link_name].is_open:
            await asyncio.sleep(0.01)
    return rig.links[link_name].close_code


@then('the last member connection is closed with code {code:d}')
def check_closed(context: Any, code: int) -> None:
    """Wait for the close and compare its code."""
    seen = context.rig.run(_await_close(context.rig, 'm1/2'))
    assert seen == code, seen
    assert context.rig.links['m1/1'].is_open


async def _open_another(rig: StandinRig) -> str:
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            rig.links['m1/3'] = await rig.open('m1', 'data')
            answer = await rig.call('m1/3', 'read', statements=_READ)
            if _outcome(answer) == 'ok':
                return 'ok'
            rig.links['m1/3'].close()


@then('a member connection can be opened after another one closed')
def check_reopened(context: Any) -> None:
    """Close a connection and retry until another one is accepted."""
    context.rig.links['m1/0'].close()
    assert context.rig.run(_open_another(context.rig)) == 'ok'


@when('member connection "{link}" ends its transaction by "{end}"')
def end_transaction(context: Any, link: str, end: str) -> None:
    """Commit, roll back or close the connection."""
    if end == 'close':
        context.rig.links[link].close()
    else:
        assert _call(context, link, end, statements=[]) == 'ok'


@when('member connection "{link}" executes "{sql}"')
def execute_sql(context: Any, link: str, sql: str) -> None:
    """Run one statement in the open transaction."""
    _call(context, link, 'execute', statements=[{'sql': sql}])


@when('member connection "{link}" reads with "{sql}"')
def read_sql(context: Any, link: str, sql: str) -> None:
    """Run one statement as a read."""
    _call(context, link, 'read', statements=[{'sql': sql}])


@when('member connection "{link}" sends a begin without waiting')
def start_waiting(context: Any, link: str) -> None:
    """Send a begin without waiting for the answer."""
    rig = context.rig
    assert _call(context, link, 'read', statements=_READ) == 'ok'
    context.waiting = rig.start(rig.call(link, 'begin', term=1, statements=[]))
    rig.run(asyncio.sleep(0))


async def _finish(task: Any) -> PeerResult:
    answer: PeerResult = await task
    return answer


@then('the member connection that waits for the lock proceeds after "{link}"')
def check_proceeds(context: Any, link: str) -> None:
    """Commit the transaction that holds the lock."""
    assert not context.waiting.done()
    assert _call(context, link, 'commit', statements=[]) == 'ok'
    answer = context.rig.run(_finish(context.waiting))
    assert _outcome(answer) == 'ok', answer


async def _read_twice(rig: StandinRig, cost_ms: int) -> None:
    body = {'statements': [{'sql': f'SELECT 1 /* cost_ms={cost_ms} */'}]}
    links = [await rig.open('m1', 'data') for _ in range(2)]
    await asyncio.gather(
        *(link.call('read', body, TIMEOUT_S) for link in links),
    )
    for link in links:
        link.close()


@when('2 member reads of cost {cost_ms:d} ms run concurrently on one slot')
def read_concurrently(context: Any, cost_ms: int) -> None:
    """Run two reads with a cost hint at the same time."""
    context.rig.run(_read_twice(context.rig, cost_ms))


@then(
    'member "{name}" counted a peak of {peak:d} running'
    ' and at least {busy_ms:d} ms busy'
)
def check_counters(context: Any, name: str, peak: int, busy_ms: int) -> None:
    """Compare the counters of the slots."""
    counters = _log(context, name)['counters']
    assert counters['running_peak_count'] == peak, counters
    assert counters['slot_busy_ms'] >= busy_ms, counters


async def _begin_unreachable(rig: StandinRig) -> None:
    proxy, listen = await rig.start_proxy(rig.addresses['m1'])
    rig.addresses['proxy'] = listen
    answer = await rig.call('proxy/a', 'begin', term=1, statements=[])
    assert _outcome(answer) == 'ok', answer
    proxy.silence_connections()


@given('a member connection whose client becomes unreachable in a transaction')
def begin_unreachable(context: Any) -> None:
    """Begin through a proxy that drops all bytes afterwards."""
    _start(context, 'm1', lock_timeout_ms=TIMEOUT_MS, silence_limit_ms=500)
    context.rig.run(_begin_unreachable(context.rig))


async def _begin_eventually(rig: StandinRig) -> None:
    # On a loaded machine, a healthy connection may be closed as well.
    async with asyncio.timeout(TIMEOUT_S):
        outcome = ''
        while outcome != 'ok':
            link = await rig.open('m1', 'data')
            body = {'term': 1, 'statements': []}
            outcome = _outcome(await link.call('begin', body, TIMEOUT_S))
            link.close()


@then('another member connection can begin a transaction')
def check_begun(context: Any) -> None:
    """Retry until the member has rolled the old transaction back."""
    context.rig.run(_begin_eventually(context.rig))
