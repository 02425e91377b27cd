"""Steps of relaying.feature."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Final

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.group_builders import build_route, build_world
from features.relay_builders import (
    build_pair,
    caller_statements,
    send_to_peer,
)
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
_CONNECT_DELAY_S: Final = 0.1
_POSITION_BEFORE_WRITE: Final = LogPosition(1, 20)
_POSITION_AFTER_WRITE: Final = LogPosition(1, 30)


def _start(context: Any) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close, context)
    context.pair = context.loop.run_until_complete(_build())
    context.world = context.pair.origin
    context.session = context.pair.origin.open_session()


async def _build() -> Any:
    pair = build_pair(build_route(timeout_ms=_TIMEOUT_MS))
    relay = pair.relay
    await relay.probe.ask(relay.group, relay.group.members['p'])
    return pair


def _close(context: Any) -> None:
    context.loop.run_until_complete(_stop_all(context))
    context.loop.close()


async def _stop_all(context: Any) -> None:
    context.pair.server.stop()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


def _cut_off(world: Any, *names: str) -> None:
    for name in names:
        world.fakes[name].is_silent = True
        world.fakes[name].connect_delay_s = _CONNECT_DELAY_S


def _limit_relay(context: Any, reaches: str) -> None:
    if reaches == 'does not':
        _cut_off(context.pair.relay, 'p')
        member = context.pair.relay.group.members['p']
        context.pair.relay.group.suspect_primary(member, 'cut')


@given('a host that does not reach primary p, and another that {reaches}')
def build_cut_off(context: Any, reaches: str) -> None:
    """Cut off the first host from the primary, and the other if asked."""
    _start(context)
    _cut_off(context.pair.origin, 'p')
    _limit_relay(context, reaches)


@given('a host that gets no connection to any member, and another that does')
def build_crowded(context: Any) -> None:
    """Let all members refuse the connections of the first host."""
    _start(context)
    for fake in context.pair.origin.fakes.values():
        fake.is_full = True


@given('a host that listens for requests of other hosts')
def build_listening(context: Any) -> None:
    """Build both hosts; the requests go to the other one."""
    _start(context)


@given('the other host is unreachable')
def close_listener(context: Any) -> None:
    """Close the listener of the other host."""
    context.pair.server.stop()


@given('the other host is stopping')
def mark_stopping(context: Any) -> None:
    """Set the flag that the other host has while it stops."""
    context.pair.handler.is_stopping = True


@when('the other host stops answering')
def lose_answers(context: Any) -> None:
    """Let its members run statements but lose their answers."""
    for fake in context.pair.relay.fakes.values():
        fake.loses_answers = True


@when('the other host forgets its transactions')
def forget_transactions(context: Any) -> None:
    """Roll back its open transactions, as a restart does."""
    handler = context.pair.handler
    context.loop.run_until_complete(_end_each(handler, handler.roll_back))


@when('the primary commits another write of the session')
def advance_primary(context: Any) -> None:
    """Advance the primary and replica a; replica b stays behind."""
    relay, origin = context.pair.relay.fakes, context.pair.origin.fakes
    relay['p'].position = _POSITION_AFTER_WRITE
    origin['a'].position = _POSITION_AFTER_WRITE
    origin['b'].position = _POSITION_BEFORE_WRITE


@when("the caller's host is lost for the idle limit")
def lose_host(context: Any) -> None:
    """Let the idle timeout of its transactions expire at the other host."""
    handler = context.pair.handler
    context.loop.run_until_complete(_end_each(handler, handler.expire))


async def _end_each(
    handler: RelayedWorkHandler, end: Callable[[str], None]
) -> None:
    for key in tuple(handler.open_keys):
        end(key)
    await asyncio.sleep(_SETTLE_S)


@when('the primary monitor of the first host runs for {duration_ms:d} ms')
def run_monitor(context: Any, duration_ms: int) -> None:
    """Run the monitor as the daemon does."""
    origin = context.pair.origin
    context.loop.run_until_complete(
        _run_monitor(origin, context.pair.finder, duration_ms / _MS_PER_S),
    )


async def _run_monitor(origin: Any, finder: Any, duration_s: float) -> None:
    task = asyncio.create_task(
        PrimaryMonitor(
            origin.group, origin.probe, origin.failover, finder, boot_time_s
        ).run()
    )
    await asyncio.sleep(duration_s)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@then('the promotions are {count}')
def check_promotions(context: Any, count: str) -> None:
    """Compare with the promotions that the platform was asked for."""
    calls = context.pair.origin.promotions.calls
    assert bool(calls) == (count == 'one'), calls


@then('the primary ran {texts}')
def check_runs(context: Any, texts: str) -> None:
    """Compare the statements that the primary ran for the other host."""
    actual = ', '.join(caller_statements({'p': context.pair.relay.fakes['p']}))
    expected = '' if texts == 'nothing' else texts
    if expected.startswith('DISCARD or SET'):
        assert actual in {'SET limit 5, write x', 'DISCARD, write x'}, actual
        return
    assert actual == expected, actual


@then('no replica behind {position} served the read')
def check_not_behind(context: Any, position: str) -> None:
    """Check that the replica without the session's write ran no read."""
    assert position == str(_POSITION_AFTER_WRITE)
    runs = context.pair.origin.fakes['b'].executed_statements
    assert 'read x' not in runs, runs


@then('the other host has no open transaction')
def check_no_transaction(context: Any) -> None:
    """Wait for the request that rolls it back, then count."""
    context.loop.run_until_complete(asyncio.sleep(_SETTLE_S))
    assert not context.pair.handler.open_count


@then('the primary rolled the transaction back')
def check_rolled_back(context: Any) -> None:
    """Check that the last statement at the member is a rollback."""
    runs = context.pair.relay.fakes['p'].executed_statements
    assert runs[-1] == 'ROLLBACK', runs


@given('the peers {names} of the data centres a, b and c')
def build_directory(context: Any, names: str) -> None:
    """Build a directory; the first letter of a peer is its data centre."""
    context.peers = {
        name: Peer(name, '', name[0]) for name in names.split(', ')
    }
    context.directory = PeerDirectory(Peer('own', '', 'a'), boot_time_s)
    context.directory.update(context.peers.values())


@when('{count:d} peers are chosen')
def choose(context: Any, count: int) -> None:
    """Let the directory choose peers."""
    context.chosen = context.directory.choose(count)


@when('peer {name} gives no answer')
def fail_peer(context: Any, name: str) -> None:
    """Record a failure of the peer in the directory."""
    context.directory.record_failure(context.peers[name])


@then('they are of {count:d} data centres')
def check_data_centres(context: Any, count: int) -> None:
    """Count the data centres of the chosen peers."""
    data_centres = {peer.data_centre for peer in context.chosen}
    assert len(data_centres) == count, context.chosen


@then('peer {name} is not among them')
def check_absent(context: Any, name: str) -> None:
    """Check that the peer was not chosen."""
    assert name not in {peer.host for peer in context.chosen}


_TEXTS: Final = st.text(min_size=1)
_STATEMENTS: Final = st.one_of(
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
@for_all(_STATEMENTS, st.dictionaries(_TEXTS, _TEXTS), _POSITIONS, _AGES_S)
def _check_round_trip(
    statement: Any, values: dict[str, str], position: LogPosition, age_s: float
) -> None:
    world = build_world()
    now_s = boot_time_s()
    work = Work(
        request_id='r1',
        statement=statement,
        values=values,
        route=build_route(),
        group=world.group,
        arrived_s=now_s - age_s,
        deadline_s=now_s + 1,
        floor=SessionFloor(position, now_s - age_s),
        workspace='forge',
        key_digest='a1',
        configuration_version=7,
    )
    received_s = now_s + age_s
    actual = decode_work(encode_work(work, now_s), world.directory, received_s)
    assert actual.statement == statement
    assert actual.values == values
    assert (actual.request_id, actual.route) == (work.request_id, work.route)
    assert _admission_of(actual) == _admission_of(work)
    assert actual.group is world.group
    assert actual.floor is not None and actual.floor.position == position
    # On a clock that is ahead by the age, no decoded time is earlier than the
    # original, so that reads are not staler.
    tolerance_s = 1e-6
    assert actual.arrived_s >= work.arrived_s
    assert actual.floor.acknowledged_s + tolerance_s >= now_s


def _admission_of(work: Work) -> tuple[str, str, int]:
    return work.workspace, work.key_digest, work.configuration_version


@then('any work is unchanged after it is encoded and decoded')
def check_any_work(context: Any) -> None:
    """Check generated examples of work."""
    _check_round_trip()


@when('another host sends {body} to {path}')
def send_body(context: Any, body: str, path: str) -> None:
    """Send the body to the other host and keep the status."""
    context.status = context.loop.run_until_complete(
        _post(context.pair, path, body),
    )


async def _post(pair: Any, path: str, body: str) -> int:
    peer = pair.directory.choose(1)[0]
    return await send_to_peer(peer, path, body.encode())


@then('the other host gets status {status:d}')
def check_status(context: Any, status: int) -> None:
    """Compare the status of the answer."""
    assert context.status == status, context.status
