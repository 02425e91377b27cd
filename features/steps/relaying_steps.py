"""Steps of relaying.feature."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Final

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from tornado.httpclient import AsyncHTTPClient

from features.group_builders import build_route, build_world
from features.relay_builders import build_pair, runs_of
from mimosapond.boot_clock import boot_time_s
from mimosapond.failover.primary_monitor import PrimaryMonitor
from mimosapond.groups.log_position import LogPosition
from mimosapond.peers.peer import Peer
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.work_codec import decode_work, encode_work
from mimosapond.routing.work import PreparedCall, SessionFloor, Work
from mimosapond.statements.statement import DirectStatement, Shape

_MS_PER_S: Final = 1000
_SETTLE_S: Final = 0.1
_IDLE_MS: Final = 50
_TIMEOUT_MS: Final = 800
_DIAL_LIMIT_S: Final = 0.1
_BEHIND: Final = LogPosition(1, 20)
_AHEAD: Final = LogPosition(1, 30)


def _start(context: Any) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close, context)
    context.pair = context.loop.run_until_complete(_build())
    context.world = context.pair.near
    context.session = context.pair.near.open_session()


async def _build() -> Any:
    pair = build_pair(build_route(timeout_ms=_TIMEOUT_MS))
    far = pair.far
    await far.probe.ask(far.group, far.group.members['p'])
    return pair


def _close(context: Any) -> None:
    context.loop.run_until_complete(_end(context))
    context.loop.close()


async def _end(context: Any) -> None:
    context.pair.server.stop()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def _cut(world: Any, *names: str) -> None:
    for name in names:
        world.fakes[name].is_silent = True
        world.fakes[name].connect_delay_s = _DIAL_LIMIT_S


def _let_far(context: Any, reaches: str) -> None:
    if reaches == 'does not':
        _cut(context.pair.far, 'p')
        member = context.pair.far.group.members['p']
        context.pair.far.group.suspect_primary(member, 'cut')


@given('a host that does not reach primary p, and another that {reaches}')
def build_cut_off(context: Any, reaches: str) -> None:
    """Cut one host off from the primary, or both."""
    _start(context)
    _cut(context.pair.near, 'p')
    _let_far(context, reaches)


@given('a host that gets no connection to any member, and another that does')
def build_crowded(context: Any) -> None:
    """Let all members refuse the connections of one host."""
    _start(context)
    for fake in context.pair.near.fakes.values():
        fake.is_full = True


@given('a host that listens for others')
def build_listening(context: Any) -> None:
    """Build both, of which one is asked."""
    _start(context)


@given('the other host is gone')
def stop_other(context: Any) -> None:
    """Close its listener."""
    context.pair.server.stop()


@given('the other host is stopping')
def stop_gracefully(context: Any) -> None:
    """Let it finish what it has."""
    context.pair.handler.is_stopping = True


@when('the other host stops answering')
def lose_answers(context: Any) -> None:
    """Let its members run statements without an answer in time."""
    for fake in context.pair.far.fakes.values():
        fake.loses_answers = True


@when('the other host forgets its transactions')
def forget(context: Any) -> None:
    """Roll back what it keeps, as a host that was restarted."""
    handler = context.pair.handler
    context.loop.run_until_complete(_end_each(handler, handler.roll_back))


@when('the primary commits once more for the session')
def commit_more(context: Any) -> None:
    """Move the primary and one replica on."""
    far, near = context.pair.far.fakes, context.pair.near.fakes
    far['p'].position = _AHEAD
    near['a'].position = _AHEAD
    near['b'].position = _BEHIND


@when("the caller's host is lost for the idle limit")
def lose_host(context: Any) -> None:
    """Let nobody ask for the end of the transaction."""
    handler = context.pair.handler
    context.loop.run_until_complete(_end_each(handler, handler.expire))


async def _end_each(
    handler: RelayedWorkHandler, end: Callable[[str], None]
) -> None:
    for key in tuple(handler.open_keys):
        end(key)
    await asyncio.sleep(_SETTLE_S)


@when('the watch of that host runs for {duration_ms:d} ms')
def watch(context: Any, duration_ms: int) -> None:
    """Run the watch as the daemon does."""
    near = context.pair.near
    context.loop.run_until_complete(
        _watch(near, context.pair.finder, duration_ms / _MS_PER_S),
    )


async def _watch(near: Any, finder: Any, duration_s: float) -> None:
    task = asyncio.create_task(
        PrimaryMonitor(
            near.group, near.probe, near.failover, finder, boot_time_s
        ).run()
    )
    await asyncio.sleep(duration_s)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@then('the promotions are {count}')
def check_promotions(context: Any, count: str) -> None:
    """Compare with the calls of the platform."""
    calls = context.pair.near.promotions.calls
    assert bool(calls) == (count == 'one'), calls


@then('the primary ran {texts}')
def check_runs(context: Any, texts: str) -> None:
    """Compare what the members of the other host ran, in order."""
    found = ', '.join(runs_of({'p': context.pair.far.fakes['p']}))
    expected = '' if texts == 'nothing' else texts
    if expected.startswith('DISCARD or SET'):
        assert found in {'SET limit 5, write x', 'DISCARD, write x'}, found
        return
    assert found == expected, found


@then('no replica behind {position} served the read')
def check_not_behind(context: Any, position: str) -> None:
    """The replica that lacks the session's write ran nothing."""
    assert position == str(_AHEAD)
    runs = context.pair.near.fakes['b'].runs
    assert 'read x' not in runs, runs


@then('the other host keeps no transaction')
def check_no_transaction(context: Any) -> None:
    """Wait for the request that ends it."""
    context.loop.run_until_complete(asyncio.sleep(_SETTLE_S))
    assert not context.pair.handler.open_count


@then('the transaction at the primary is over')
def check_rolled_back(context: Any) -> None:
    """The member got a rollback after the write."""
    runs = context.pair.far.fakes['p'].runs
    assert runs[-1] == 'ROLLBACK', runs


@given('the peers {names} of the data centres a, b and c')
def build_directory(context: Any, names: str) -> None:
    """Build a directory; the first letter is the data centre."""
    context.peers = {
        name: Peer(name, '', name[0]) for name in names.split(', ')
    }
    context.directory = PeerDirectory(Peer('own', '', 'a'), boot_time_s)
    context.directory.update(context.peers.values())


@when('{count:d} peers are chosen')
def choose(context: Any, count: int) -> None:
    """Choose some."""
    context.chosen = context.directory.choose(count)


@when('peer {name} gives no answer')
def fail_peer(context: Any, name: str) -> None:
    """Note a failure."""
    context.directory.record_failure(context.peers[name])


@then('they are of {count:d} data centres')
def check_places(context: Any, count: int) -> None:
    """Count the places."""
    places = {peer.data_centre for peer in context.chosen}
    assert len(places) == count, context.chosen


@then('peer {name} is not among them')
def check_absent(context: Any, name: str) -> None:
    """Look for it."""
    assert name not in {peer.host for peer in context.chosen}


_TEXTS: Final = st.text(min_size=1)
_ACCESSES: Final = st.one_of(
    st.builds(DirectStatement, _TEXTS, is_write=st.booleans()),
    st.builds(
        PreparedCall, st.builds(Shape, _TEXTS, is_write=st.booleans()), _TEXTS
    ),
)
_AGES_S: Final = st.floats(min_value=0, max_value=100)
_POSITIONS: Final = st.builds(
    LogPosition, st.integers(0, 9), st.integers(0, 999)
)


@settings(derandomize=True, deadline=None)
@for_all(_ACCESSES, st.dictionaries(_TEXTS, _TEXTS), _POSITIONS, _AGES_S)
def _check_round_trip(
    access: Any, values: dict[str, str], position: LogPosition, age_s: float
) -> None:
    world = build_world()
    now_s = boot_time_s()
    work = Work(
        request_id='r1',
        access=access,
        values=values,
        route=build_route(),
        group=world.group,
        arrived_s=now_s - age_s,
        deadline_s=now_s + 1,
        floor=SessionFloor(position, now_s - age_s),
    )
    later_s = now_s + age_s
    found = decode_work(encode_work(work, now_s), world.directory, later_s)
    assert found.access == access
    assert found.values == values
    assert (found.request_id, found.route) == (work.request_id, work.route)
    assert found.group is world.group
    assert found.floor is not None and found.floor.position == position
    # On a clock that is ahead by the age, no moment lies before its original.
    tolerance_s = 1e-6
    assert found.arrived_s >= work.arrived_s
    assert found.floor.acknowledged_s + tolerance_s >= now_s


@then('any work is the same after the way to another host')
def check_any_work(context: Any) -> None:
    """Encode and decode many pieces of work."""
    _check_round_trip()


@when('another host sends {body} to {path}')
def send_body(context: Any, body: str, path: str) -> None:
    """Post a body."""
    context.status = context.loop.run_until_complete(
        _post(context.pair, path, body),
    )


async def _post(pair: Any, path: str, body: str) -> int:
    peer = pair.directory.choose(1)[0]
    found = await AsyncHTTPClient(force_instance=True).fetch(
        f'http://{peer.address}{path}',
        method='POST',
        body=body,
        raise_error=False,
    )
    return found.code


@then('the other host gets status {status:d}')
def check_status(context: Any, status: int) -> None:
    """Compare."""
    assert context.status == status, context.status
