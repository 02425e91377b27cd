"""Steps of admission.feature that route statements of callers."""

import asyncio
import types
from typing import Any, Final

from behave import given, then, when

from features.admission_properties import fill_queue, take_all_permits
from features.group_builders import GroupWorld, build_route, build_world
from mimosapond.boot_clock import boot_time_s
from mimosapond.groups.admission_permit import Permit
from mimosapond.sessions.session import Session
from mimosapond.statements.reply import Failure, FailureKind, Reply, Success
from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Statement,
)

_TIMEOUT_MS: Final = 1000
# Statements of others in each queue, and the latency that they are expected to
# have, so that the queue takes longer than the timeout.
_QUEUE_LENGTH_COUNT: Final = 60
_LATENCY_S: Final = 0.2
_STATEMENTS: Final = types.MappingProxyType(
    {
        'read': DirectStatement('read x', is_write=False),
        'write': DirectStatement('write x', is_write=True),
    }
)
# Statements that this host sends for itself.
_OWN_STATEMENTS: Final = frozenset(('BEGIN', 'ROLLBACK', 'COMMIT'))


def _run(context: Any, work: Any) -> Any:
    return context.loop.run_until_complete(work)


def _open(context: Any) -> None:
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.world = build_world(build_route(timeout_ms=_TIMEOUT_MS))
    context.session = context.world.open_session()
    context.permits = []


async def _prove_primary(world: GroupWorld) -> None:
    await world.probe.ask(world.group, world.group.members['p'])


def _use_up(context: Any) -> None:
    for member in context.world.group.members.values():
        context.permits += _run(context, take_all_permits(member.admission))


@given('a group whose members are used up by others')
def use_up_members(context: Any) -> None:
    """Hold all permits of all members."""
    _open(context)
    _run(context, _prove_primary(context.world))
    _use_up(context)


@given('a group whose members are used up by others, with long queues')
def fill_queues(context: Any) -> None:
    """Hold all permits, and wait for many more."""
    use_up_members(context)
    context.waiting = []
    for member in context.world.group.members.values():
        context.waiting += _run(
            context,
            fill_queue(member.admission, _QUEUE_LENGTH_COUNT, _LATENCY_S),
        )
    context.add_cleanup(_cancel, context.loop, context.waiting)


def _cancel(
    loop: asyncio.AbstractEventLoop, tasks: list[asyncio.Task[Any]]
) -> None:
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))


@given('a caller with an open transaction that has written')
def open_transaction(context: Any) -> None:
    """Run the first statement of a transaction."""
    _open(context)
    _run(context, _prove_primary(context.world))
    for statement in (Begin(is_read_only=False), _STATEMENTS['write']):
        reply = _run(context, context.session.execute('r', statement))
        assert isinstance(reply, Success), reply


@given('the members are used up by others now')
def use_up_members_now(context: Any) -> None:
    """Hold all permits of all members."""
    _use_up(context)


@when('a caller reads, and all members become free 0.35 s later')
def read_late(context: Any) -> None:
    """Read while all members are used up; they become free at once."""
    context.reply = _run(context, _read_late(context.session, context.permits))


async def _read_late(session: Session, permits: list[Permit]) -> Reply:
    read = asyncio.create_task(session.execute('r', _STATEMENTS['read']))
    # Longer than the delays after which the read tries all members.
    await asyncio.sleep(0.35)
    for permit in permits:
        permit.release()
    reply = await read
    # Time for a second execution.
    await asyncio.sleep(0.15)
    return reply


@when('the busy group gets a {name}')
def send_statement(context: Any, name: str) -> None:
    """Send one statement."""
    _send(context, _STATEMENTS[name])


@when('the transaction on the busy group is committed')
def commit(context: Any) -> None:
    """Commit the open transaction."""
    _send(context, Commit())


def _send(context: Any, statement: Statement) -> None:
    sent_s = boot_time_s()
    context.reply = _run(context, context.session.execute('r', statement))
    context.duration_s = boot_time_s() - sent_s


@then('the reply of the busy group is a success')
def check_success(context: Any) -> None:
    """Check the reply."""
    assert isinstance(context.reply, Success), context.reply


@then('the reply of the busy group within {limit:g} s is a success')
def check_prompt_success(context: Any, limit: float) -> None:
    """Check the reply and its time."""
    check_success(context)
    assert context.duration_s < limit, context.duration_s


@then(
    'the reply of the busy group within {limit:g} s is a refusal that says '
    'when to retry'
)
def check_refusal(context: Any, limit: float) -> None:
    """Check the reply and its time."""
    reply = context.reply
    assert isinstance(reply, Failure), reply
    assert reply.kind is FailureKind.not_run, reply
    words = reply.text.split()
    assert words[-4:-2] == ['retry', 'after'], reply
    assert words[-2].isdigit(), reply
    assert context.duration_s < limit, context.duration_s


@then('the members of the busy group ran {count:d} of the statements')
def check_executions(context: Any, count: int) -> None:
    """Check how many callers' statements ran, at all members together."""
    executed = [
        statement
        for fake in context.world.fakes.values()
        for statement in fake.executed_statements
        if statement not in _OWN_STATEMENTS
    ]
    assert len(executed) == count, executed


@then('no permit but those of the others is out')
def check_permits(context: Any) -> None:
    """Check that the transaction holds none."""
    for permit in context.permits:
        permit.release()
    for member in context.world.group.members.values():
        found = member.admission.in_flight_count
        assert found == 0, (member.member_id, found)
