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
    build_route,
    build_world,
)
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.route import Freshness
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.groups.member_answer import RejectionKind
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
_SETTLE_S: Final = 0.05
_QUEUED_COUNT: Final = 1000
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


def _open(context: Any, world: GroupWorld) -> None:
    context.world = world
    context.session = world.open_session()
    context.closed = []
    context.registry = SessionRegistry(world.services)
    _enter(context, context.session, 'first')
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(_close, context)
    context.loop.run_until_complete(
        world.probe.ask(world.group, world.group.members['p'])
    )


def _enter(context: Any, session: Session, name: str) -> None:
    close = functools.partial(context.closed.append, name)
    context.registry.register(session, close)


def _close(context: Any) -> None:
    context.loop.run_until_complete(_end(context.session))
    context.loop.close()


async def _end(session: Session) -> None:
    session.close()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def _leave(session: Session) -> None:
    session.close()
    await asyncio.sleep(_SETTLE_S)


async def _send(session: Session, names: str) -> Any:
    reply = None
    for number, name in enumerate(names.split(',')):
        statement = _STATEMENTS[name.strip()]
        reply = await session.execute(f'r{number}', statement)
    return reply


@given('a session on a group whose primary is p')
def open_fresh(context: Any) -> None:
    """Open a session whose reads are fresh."""
    _open(context, build_world())


@given('a session with reads up to {age_ms:d} ms old')
def open_bounded(context: Any, age_ms: int) -> None:
    """Open a session whose reads may be old."""
    route = build_route(Freshness.bounded, max_age_ms=age_ms)
    _open(context, build_world(route))


@given('a session whose transactions may rest {idle_ms:d} ms')
def open_impatient(context: Any, idle_ms: int) -> None:
    """Open a session with a short idle limit."""
    _open(context, build_world(idle_ms=idle_ms))


@given('a session of a database without a route')
def open_unrouted(context: Any) -> None:
    """Open a session of a database that is not configured."""
    world = build_world()
    _open(context, world)
    context.session = Session('elsewhere', world.services)


@given('member {name} refuses the next request as {kind}')
def refuse_next(context: Any, name: str, kind: str) -> None:
    """Queue a refusal."""
    context.world.fakes[name].pending_rejections.append(RejectionKind(kind))


@given('the members {names} refuse the next {count:d} requests as {kind}')
def refuse_some(context: Any, names: str, count: int, kind: str) -> None:
    """Queue refusals."""
    for name in names.split(','):
        rejects = context.world.fakes[name].pending_rejections
        rejects.extend(RejectionKind(kind) for _ in range(count))


@then('member {name} refused at most {count:d} requests')
def check_refusals(context: Any, name: str, count: int) -> None:
    """Compare with the refusals that are left of those queued."""
    refused_count = _QUEUED_COUNT - len(
        context.world.fakes[name].pending_rejections
    )
    assert 0 < refused_count <= count, refused_count


@given('member {name} loses its answers')
def lose_answers_of(context: Any, name: str) -> None:
    """Let the statements of one member run without an answer."""
    context.world.fakes[name].loses_answers = True
    # The read is to try it first.
    member = context.world.group.members[name]
    member.load.latency_s = 0


@given('no member leads')
def depose(context: Any) -> None:
    """Let the primary lose the lead; it refuses what it gets."""
    context.world.fakes['p'].is_primary = False
    kind = RejectionKind.not_primary
    context.world.fakes['p'].pending_rejections.extend((kind, kind))


@given('the primary was proven just now')
def prove(context: Any) -> None:
    """Note a proof of leadership."""
    world = context.world
    world.group.confirm_primary(
        world.group.members['p'], boot_time_s(), world.fakes['p'].position
    )


@when('the members lose their answers')
def lose_answers(context: Any) -> None:
    """Let statements run without an answer."""
    for fake in context.world.fakes.values():
        fake.loses_answers = True


@when('the caller sends {names}')
def send(context: Any, names: str) -> None:
    """Send statements one after another."""
    started_s = boot_time_s()
    context.reply = context.loop.run_until_complete(
        _send(context.session, names)
    )
    context.taken_s = boot_time_s() - started_s


@when('another caller sends write on the same connection')
def send_other(context: Any) -> None:
    """Send a write of a session without values."""
    other = context.world.open_session()
    context.loop.run_until_complete(_send(other, 'write'))


@when('{pause_ms:d} ms pass')
def pause(context: Any, pause_ms: int) -> None:
    """Let timers run."""
    context.loop.run_until_complete(asyncio.sleep(pause_ms / _MS_PER_S))


@when('the caller leaves')
def leave(context: Any) -> None:
    """Close the session and let its rollback run."""
    context.loop.run_until_complete(_leave(context.session))


@then('the last reply is {kind}')
def check_reply(context: Any, kind: str) -> None:
    """Compare the kind of the reply."""
    reply = context.reply
    found = reply.kind.value if isinstance(reply, Failure) else 'success'
    assert found == kind, reply


@then('the session is {state}')
def check_state(context: Any, state: str) -> None:
    """Compare the state of the session."""
    assert context.session.state.value == state, context.session.state


@then('no member ran a write')
def check_no_write(context: Any) -> None:
    """Check what the members ran."""
    for fake in context.world.fakes.values():
        assert 'write x' not in fake.executed_statements, (
            fake.executed_statements
        )


@then('the member cleared the values before the second write')
def check_cleared(context: Any) -> None:
    """Check the order at the primary."""
    runs = context.world.fakes['p'].executed_statements
    assert runs[-2:] == ['DISCARD', 'write x'], runs


@then('the transaction was rolled back at p')
def check_rolled_back(context: Any) -> None:
    """Check the last request and that the connection is free again."""
    assert context.world.fakes['p'].executed_statements[-1] == 'ROLLBACK'
    member = context.world.group.members['p']
    assert member.pool.idle_count == 1


@then('member {name} ran nothing')
def check_idle(context: Any, name: str) -> None:
    """Check that the member was left alone."""
    runs = context.world.fakes[name].executed_statements
    assert not runs, runs


@given('member p has been leaving for {leaving_ms:d} ms')
def let_leave(context: Any, leaving_ms: int) -> None:
    """Let the host have learned it some time ago."""
    member = context.world.group.members['p']
    member.leaving_since_s = boot_time_s() - leaving_ms / _MS_PER_S


@given('the last proof of a primary is {age_s:d} s old')
def age_proof(context: Any, age_s: int) -> None:
    """Let the host have searched for long."""
    context.world.group.primary_confirmed_s = boot_time_s() - age_s


@then('the reply took less than {limit_ms:d} ms')
def check_time(context: Any, limit_ms: int) -> None:
    """Compare with the time that the last statements took."""
    assert context.taken_s < limit_ms / _MS_PER_S, context.taken_s


@given('the host ends its sessions')
@when('the host ends its sessions')
def close_when_idle(context: Any) -> None:
    """Do as at a stop, or when the host is cut off."""
    context.registry.close_when_idle()


@when('another session begins')
def begin_other(context: Any) -> None:
    """Open one more session."""
    _enter(context, context.world.open_session(), 'other')


@when('idle sessions are closed')
def close_idle(context: Any) -> None:
    """Do as the host does at each step."""
    context.registry.close_idle()


@then('the first session is closed and the other is open')
def check_first_closed(context: Any) -> None:
    """Compare the closed sessions."""
    assert context.closed == ['first'], context.closed


@then('no session is closed')
def check_none_closed(context: Any) -> None:
    """Compare the closed sessions."""
    assert not context.closed, context.closed


@given('the host turns callers of {group} away')
def redirect_groups(context: Any, group: str) -> None:
    """Let the balancer have better hosts for a group."""
    context.registry.redirected_groups = frozenset((group,))


@then('the session {may} end')
def check_may_end(context: Any, may: str) -> None:
    """Look at what happens after the answer."""
    assert context.registry.should_close(context.session) == (may == 'may')


@given('a host with a configuration')
def build_configured(context: Any) -> None:
    """Build a host that knows one route."""
    context.registry = SessionRegistry(build_world().services)


@given('a host without a configuration')
def build_unconfigured(context: Any) -> None:
    """Build a host that has just started."""
    context.active = ActiveConfiguration()
    services = attrs.evolve(
        build_world().services, configuration=context.active
    )
    context.registry = SessionRegistry(services)


@when('a caller asks for database {database}')
def ask_for_database(context: Any, database: str) -> None:
    """Begin a session."""
    context.answer = context.registry.open(database)


@then('the desk answers {answer}')
def check_answer(context: Any, answer: str) -> None:
    """Compare the session or the kind of failure."""
    found = context.answer
    kind = found.kind.value if isinstance(found, Failure) else 'a session'
    assert kind == answer, found


@then('it waits {limit_ms:d} ms for the first one')
def check_wait(context: Any, limit_ms: int) -> None:
    """Measure the wait."""
    taken_s = _wait_for_first(context.active, limit_ms / _MS_PER_S)
    assert taken_s >= limit_ms / _MS_PER_S, taken_s


@then('it does not wait once one is in force')
def check_no_wait(context: Any) -> None:
    """Measure the wait again."""
    context.active.activate(build_configuration(build_route()))
    assert _wait_for_first(context.active, 1) < _SETTLE_S


def _wait_for_first(active: ActiveConfiguration, limit_s: float) -> float:
    started_s = boot_time_s()
    asyncio.run(active.wait_until_loaded(limit_s))
    return boot_time_s() - started_s
