"""Steps of sessions.feature."""

import asyncio
import functools
from types import MappingProxyType
from typing import Any, Final

import attrs
from behave import given, then, when

from features.group_builders import (
    GroupWorld,
    build_configuration,
    build_record,
    build_route,
    build_world,
)
from features.group_fakes import FakeDialer, SwitchedHolding
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.route import Freshness
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import RejectionKind
from mimosapond.groups.registration_poller import RegistrationPoller
from mimosapond.sessions.session import Session
from mimosapond.statements.reply import Failure
from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Execute,
    Deallocate,
    Prepare,
    Rollback,
    SetValue,
    Shape,
    MalformedStatement,
)

_MS_PER_S: Final = 1000
_SHORT_WAIT_S: Final = 0.05
_QUEUED_REFUSAL_COUNT: Final = 1000
_STATEMENTS: Final = MappingProxyType(
    {
        'begin': Begin(is_read_only=False),
        'commit': Commit(),
        'rollback': Rollback(),
        'read': DirectStatement('read x', is_write=False),
        'write': DirectStatement('write x', is_write=True),
        'set': SetValue('limit', '5'),
        'prepare': Prepare('s1', Shape('q', is_write=False)),
        'execute': Execute('s1', 'x'),
        'forget': Deallocate('s1'),
        'nonsense': MalformedStatement('unknown'),
    },
)


def _open_session(context: Any, world: GroupWorld) -> None:
    context.world = world
    context.session = world.open_session()
    context.closed = []
    context.registry = SessionRegistry(world.services)
    _register(context, context.session, 'first')
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_clean_up, context)
    context.loop.run_until_complete(
        world.probe.ask(world.group, world.group.members['p'])
    )


def _register(context: Any, session: Session, name: str) -> None:
    close = functools.partial(context.closed.append, name)
    context.registry.register(session, close)


def _clean_up(context: Any) -> None:
    context.loop.run_until_complete(_close_session(context.session))
    context.loop.close()


async def _close_session(session: Session) -> None:
    session.close()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def _disconnect(session: Session) -> None:
    session.close()
    await asyncio.sleep(_SHORT_WAIT_S)


async def _send(session: Session, names: str) -> Any:
    reply = None
    for number, name in enumerate(names.split(',')):
        statement = _STATEMENTS[name.strip()]
        reply = await session.execute(f'r{number}', statement)
    return reply


@given('a session on a group whose primary is p')
def open_session_with_fresh_reads(context: Any) -> None:
    """Open a session whose reads return the latest data."""
    _open_session(context, build_world())


@given('a session with reads up to {age_ms:d} ms old')
def open_session_with_bounded_reads(context: Any, age_ms: int) -> None:
    """Open a session whose reads may return data of a limited age."""
    route = build_route(Freshness.bounded, max_age_ms=age_ms)
    _open_session(context, build_world(route))


@given('a session whose transactions may be idle for {idle_ms:d} ms')
def open_session_with_idle_timeout(context: Any, idle_ms: int) -> None:
    """Open a session with this idle timeout of transactions."""
    _open_session(context, build_world(idle_ms=idle_ms))


@given('a session of a database without a route')
def open_session_without_route(context: Any) -> None:
    """Open a session of a database that is not configured."""
    world = build_world()
    _open_session(context, world)
    context.session = Session('elsewhere', world.services)


@given('member {name} refuses the next request as {kind}')
def refuse_next(context: Any, name: str, kind: str) -> None:
    """Make the member refuse one request."""
    context.world.fakes[name].pending_rejections.append(RejectionKind(kind))


@given('the members {names} refuse the next {count:d} requests as {kind}')
def refuse_next_requests(
    context: Any, names: str, count: int, kind: str
) -> None:
    """Make each of the members refuse some requests."""
    for name in names.split(','):
        rejects = context.world.fakes[name].pending_rejections
        rejects.extend(RejectionKind(kind) for _ in range(count))


@then('member {name} refused at most {count:d} requests')
def check_refusals(context: Any, name: str, count: int) -> None:
    """Count the refusals that were used and compare with the limit."""
    refused_count = _QUEUED_REFUSAL_COUNT - len(
        context.world.fakes[name].pending_rejections
    )
    assert 0 < refused_count <= count, refused_count


@given('member {name} loses its answers')
def lose_answers_of(context: Any, name: str) -> None:
    """Make one member run statements without answering."""
    context.world.fakes[name].loses_answers = True
    # With the lowest latency, the read tries this member first.
    member = context.world.group.members[name]
    member.load.latency_s = 0


@given('no member leads')
def demote_primary(context: Any) -> None:
    """Demote the primary; it refuses the next two requests."""
    context.world.fakes['p'].is_primary = False
    kind = RejectionKind.not_primary
    context.world.fakes['p'].pending_rejections.extend((kind, kind))


@given('the primary was confirmed just now')
def confirm_primary(context: Any) -> None:
    """Record a confirmation of the primary."""
    world = context.world
    world.group.confirm_primary(
        world.group.members['p'], boot_time_s(), world.fakes['p'].position
    )


@when('the answers of the members are lost')
def lose_answers(context: Any) -> None:
    """Make all members run statements without answering."""
    for fake in context.world.fakes.values():
        fake.loses_answers = True


@when('the caller sends {names}')
def send(context: Any, names: str) -> None:
    """Send statements in order; keep the last reply and the duration."""
    started_s = boot_time_s()
    context.reply = context.loop.run_until_complete(
        _send(context.session, names)
    )
    context.duration_s = boot_time_s() - started_s


@when('another caller sends write on the same connection')
def send_other(context: Any) -> None:
    """Send a write in a session without session values."""
    other = context.world.open_session()
    context.loop.run_until_complete(_send(other, 'write'))


@when('{pause_ms:d} ms pass')
def pause(context: Any, pause_ms: int) -> None:
    """Wait, so that timers can expire."""
    context.loop.run_until_complete(asyncio.sleep(pause_ms / _MS_PER_S))


@when('the caller leaves')
def disconnect(context: Any) -> None:
    """Close the session and give its rollback time to run."""
    context.loop.run_until_complete(_disconnect(context.session))


@then('the last reply is {kind}')
def check_reply(context: Any, kind: str) -> None:
    """Check that the reply is a success or a failure of this kind."""
    reply = context.reply
    found = reply.kind.value if isinstance(reply, Failure) else 'success'
    assert found == kind, reply


@then('the session is {state}')
def check_state(context: Any, state: str) -> None:
    """Check the state of the session."""
    assert context.session.state.value == state, context.session.state


@then('no member ran a write')
def check_no_write(context: Any) -> None:
    """Check that no member ran the write statement."""
    for fake in context.world.fakes.values():
        assert 'write x' not in fake.executed_statements, (
            fake.executed_statements
        )


@then('the member cleared the values before the second write')
def check_cleared(context: Any) -> None:
    """Check the last two requests that the primary ran."""
    runs = context.world.fakes['p'].executed_statements
    assert runs[-2:] == ['DISCARD', 'write x'], runs


@then('the transaction was rolled back at p')
def check_rolled_back(context: Any) -> None:
    """Check that p ran a rollback last and the connection is idle."""
    assert context.world.fakes['p'].executed_statements[-1] == 'ROLLBACK'
    member = context.world.group.members['p']
    assert member.pool.idle_count == 1


@then('member {name} ran nothing')
def check_ran_nothing(context: Any, name: str) -> None:
    """Check that the member got no statement."""
    runs = context.world.fakes[name].executed_statements
    assert not runs, runs


@given('member p has been leaving for {leaving_ms:d} ms')
def mark_primary_as_leaving(context: Any, leaving_ms: int) -> None:
    """Set the time at which the host learned that p is leaving."""
    member = context.world.group.members['p']
    member.leaving_since_s = boot_time_s() - leaving_ms / _MS_PER_S


@given('p was {state} when this host first read the registrations')
def read_registrations_late(context: Any, state: str) -> None:
    """Read the registrations as a host that has just started."""
    directory = context.world.directory
    for member in context.world.group.members.values():
        member.pool.close()
    context.world.group.members.clear()
    records = [build_record(name, is_leaving=False) for name in ('a', 'b')]
    leaving = build_record('p', is_leaving=state.startswith('leaving'))
    directory.apply_registrations([*records, leaving])
    if state.endswith('since'):
        directory.apply_registrations([*records, build_record('p')])
    context.loop.run_until_complete(
        context.world.probe.ask(
            context.world.group, context.world.group.members['p']
        )
    )


@given('a host that holds no group and has read the registrations')
def rest_host(context: Any) -> None:
    """Build a poller for a directory without groups."""
    world = build_world()
    context.source = world.registrations
    context.holding = SwitchedHolding()
    context.directory = GroupDirectory(
        FakeDialer(world.fakes), boot_time_s, context.holding
    )
    context.directory.apply_limits(build_configuration(build_route()))
    context.directory.apply_registrations([build_record('p')])


@when('it comes to hold a group')
def hold_group(context: Any) -> None:
    """Count the reads while the host begins to hold its group."""
    context.read_count = asyncio.run(_poll_while_holding(context))


async def _poll_while_holding(context: Any) -> int:
    poller = RegistrationPoller(context.source, context.directory)
    polling = asyncio.create_task(poller.run())
    await asyncio.sleep(_SHORT_WAIT_S)
    before_count = context.source.read_count
    context.holding.is_held = True
    await asyncio.sleep(2)
    polling.cancel()
    return int(context.source.read_count - before_count)


@then('it reads the registrations again within {limit_s:d} s')
def check_reads(context: Any, limit_s: int) -> None:
    """Check that there was a read within the time of the step before."""
    assert context.read_count >= 1, (context.read_count, limit_s)


@given('the last confirmation of a primary is {age_s:d} s old')
def set_confirmation_age(context: Any, age_s: int) -> None:
    """Set the time at which a primary was last confirmed."""
    context.world.group.primary_confirmed_s = boot_time_s() - age_s


@then('the reply took less than {limit_ms:d} ms')
def check_time(context: Any, limit_ms: int) -> None:
    """Check how long the last statements took together."""
    assert context.duration_s < limit_ms / _MS_PER_S, context.duration_s


@given('the host starts to close its sessions')
@when('the host starts to close its sessions')
def close_when_idle(context: Any) -> None:
    """Mark all sessions to be closed, as at a stop of the host."""
    context.registry.close_when_idle()


@when('another session begins')
def open_other(context: Any) -> None:
    """Open one more session."""
    _register(context, context.world.open_session(), 'other')


@when('idle sessions are closed')
def close_idle(context: Any) -> None:
    """Close idle sessions as the main loop of the host does."""
    context.registry.close_idle()


@then('the first session is closed and the other is open')
def check_first_closed(context: Any) -> None:
    """Check that the first session alone was closed."""
    assert context.closed == ['first'], context.closed


@then('no session is closed')
def check_none_closed(context: Any) -> None:
    """Check that no connection was closed."""
    assert not context.closed, context.closed


@given('the host redirects callers of {group}')
def redirect_groups(context: Any, group: str) -> None:
    """Add the group to those that other hosts serve better."""
    context.registry.redirected_groups = frozenset((group,))


@then('the session {may} end')
def check_may_end(context: Any, may: str) -> None:
    """Check whether the session is to be closed after the reply."""
    assert context.registry.should_close(context.session) == (may == 'may')


@given('a host with a configuration')
def build_host_with_configuration(context: Any) -> None:
    """Build the session registry of a host with one route."""
    context.registry = SessionRegistry(build_world().services)


@given('a host without a configuration')
def build_host_without_configuration(context: Any) -> None:
    """Build the session registry of a host that has just started."""
    context.active = ActiveConfiguration()
    services = attrs.evolve(
        build_world().services, configuration=context.active
    )
    context.registry = SessionRegistry(services)


@when('a caller asks for database {database}')
def ask_for_database(context: Any, database: str) -> None:
    """Ask the registry for a session."""
    context.answer = context.registry.open(database)


@then('the registry answers {answer}')
def check_answer(context: Any, answer: str) -> None:
    """Check for a session or a failure of this kind."""
    found = context.answer
    kind = found.kind.value if isinstance(found, Failure) else 'a session'
    assert kind == answer, found


@then('it waits {limit_ms:d} ms for the first one')
def check_wait(context: Any, limit_ms: int) -> None:
    """Check that the wait without a configuration lasts that long."""
    wait_s = _measure_wait_s(context.active, limit_ms / _MS_PER_S)
    assert wait_s >= limit_ms / _MS_PER_S, wait_s


@then('it does not wait once one is in force')
def check_no_wait(context: Any) -> None:
    """Check that the wait ends at once when a version is in force."""
    context.active.activate(build_configuration(build_route()))
    assert _measure_wait_s(context.active, 1) < _SHORT_WAIT_S


def _measure_wait_s(active: ActiveConfiguration, limit_s: float) -> float:
    started_s = boot_time_s()
    asyncio.run(active.wait_until_loaded(limit_s))
    return boot_time_s() - started_s


@given('replicas a and b that receive nothing, and a primary that is slow')
def lag_replicas(context: Any) -> None:
    """Let the replicas lag behind, and the primary answer too late."""
    _open_session(context, build_world())
    for name in ('a', 'b'):
        context.world.fakes[name].position = LogPosition(1, 5)
    context.world.fakes['p'].loses_answers = True


@when('{count:d} callers read at the same time')
def read_together(context: Any, count: int) -> None:
    """Send a read on each of several sessions."""
    context.read_count = count
    asyncio.run(_read_together(context.world, count))


async def _read_together(world: GroupWorld, count: int) -> None:
    await world.probe.ask(world.group, world.group.members['p'])
    sessions = [world.open_session() for _ in range(count)]
    await asyncio.gather(
        *(
            session.execute(f'r{number}', _STATEMENTS['read'])
            for number, session in enumerate(sessions)
        )
    )


@then('the replicas refused fewer than {limit:d} requests for each read')
def check_refusals(context: Any, limit: int) -> None:
    """Count the refusals of both replicas."""
    fakes = context.world.fakes
    count = fakes['a'].refusal_count + fakes['b'].refusal_count
    assert count < limit * context.read_count, count
