"""Steps of connection_ownership.feature."""

import asyncio
import contextlib
import functools
import gc
import secrets
import time
from typing import Any, Final
from unittest import mock

from behave import given, then, when

from features.ownership_builders import build_access, build_ownership_world
from features.wire_member import Refusal, Request
from mimosapond.failover import control_requests
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.member_answer import Completed
from mimosapond.peers.transaction_keys import TransactionKeys
from mimosapond.statements.reply import Success

_SETTLE_S: Final = 0.1
_ARRIVAL_LIMIT_S: Final = 2
_ANSWER_LIMIT_S: Final = 3
_MANY_REFUSALS: Final = 10_000
# int() refuses texts of more than 4300 digits by default.
_OVERLONG_DIGIT_COUNT: Final = 5000


def _run(context: Any, call: Any, limit_s: float = _ANSWER_LIMIT_S) -> Any:
    return context.loop.run_until_complete(asyncio.wait_for(call, limit_s))


@given('a host that reaches p with {count:d} connection, for callers of others')
@given(
    'a host that reaches p with {count:d} connections, for callers of others'
)
def build_host(context: Any, count: int) -> None:
    """Build it; the calls of other hosts reach it over HTTP."""
    _build(context, count)


@given('a host that reaches p and replica a with {count:d} connections')
def build_host_of_two(context: Any, count: int) -> None:
    """Build it; its reads are to try the replica first."""
    _build(context, count, 'a')
    members = context.ownership.far.group.members
    members['a'].load.latency_s = 0
    members['p'].load.latency_s = 1


def _build(context: Any, count: int, *names: str) -> None:
    context.loop = asyncio.new_event_loop()
    context.loop.set_exception_handler(functools.partial(_note_error, context))
    context.add_cleanup(_close, context)
    context.errors = []
    context.tasks = {}
    context.ownership = _run(context, build_ownership_world(count, *names))


def _note_error(context: Any, loop: Any, details: dict[str, Any]) -> None:
    context.errors.append(details.get('exception') or details['message'])


def _close(context: Any) -> None:
    context.loop.run_until_complete(_end(context))
    context.loop.close()


async def _end(context: Any) -> None:
    context.ownership.server.stop()
    for member in context.ownership.members.values():
        member.stop()
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


@given('member {member} keeps each {word} waiting')
def hold(context: Any, member: str, word: str) -> None:
    """Let the member work on such requests until it is told to go on."""
    context.ownership.members[member].blocked_parts.add(word)


@when('member {member} goes on after a moment')
def go_on(context: Any, member: str) -> None:
    """Let the member answer what it was kept from."""
    let_pass(context)
    context.ownership.members[member].blocked_parts.clear()
    let_pass(context)


@given('member p works on each WRITE and refuses the next one')
def hold_and_refuse(context: Any) -> None:
    """Let the refusal come when the member goes on."""
    member = context.ownership.member
    member.blocked_parts.add('WRITE')
    member.refusals.append(Refusal('WRITE', 'RETRY', 'E'))


@given('member p answers the next {word} with the lines {lines}')
def replace_answer(context: Any, word: str, lines: str) -> None:
    """Let the member carry the request out and answer something else."""
    text = lines.replace('5000 digits', '1' * _OVERLONG_DIGIT_COUNT)
    context.ownership.member.replaced_answers[word] = text.split('/')


@given('member p sends its next answer to {word} twice')
def repeat_answer(context: Any, word: str) -> None:
    """Let an answer arrive that nobody asked for."""
    context.ownership.member.repeated_words.add(word)


@given('member p refuses each WRITE of caller one as busy until a rollback')
def refuse_writes(context: Any) -> None:
    """Let the member be busy for as long as the transaction is open."""
    member = context.ownership.member
    member.refusals.append(
        Refusal('WRITE one', 'RETRY', 'T', _MANY_REFUSALS, until='ROLLBACK')
    )


@given('member p answers the next {part} with {code} and state {state}')
def refuse_next(context: Any, part: str, code: str, state: str) -> None:
    """Let the member refuse one request and change the connection's state."""
    refusal = Refusal(part, code, state)
    context.ownership.member.refusals.append(refusal)


@given('the rollback of caller one comes with the answer to its READ')
def roll_back_with_answer(context: Any) -> None:
    """Let the rollback begin in the step in which the answer arrives."""
    world = context.ownership
    context.answered = asyncio.Event()
    world.member.watchers.append(
        functools.partial(_roll_back_beside, context, world)
    )


def _roll_back_beside(context: Any, world: Any, request: Request) -> None:
    if not request.text.startswith('READ one'):
        return
    for key in tuple(world.desk.open_keys):
        context.loop.call_soon(world.desk.roll_back, key)
    # The answer to the rollback takes a moment, as on a real network.
    blocked_parts = world.member.blocked_parts
    blocked_parts.add('ROLLBACK')
    context.loop.call_later(_SETTLE_S, blocked_parts.discard, 'ROLLBACK')
    context.answered.set()


@when('local callers two, three and four send read as soon as that is answered')
def read_at_once(context: Any) -> None:
    """Send one read after another."""
    _run(context, context.answered.wait())
    for name in ('two', 'three', 'four'):
        caller = context.ownership.open_local(name)
        with contextlib.suppress(AssertionError):
            _run(context, caller.send('read'))


@given('all connections to member p are lent')
def lend_all(context: Any) -> None:
    """Borrow them."""
    pool = context.ownership.pool
    lent = [
        _run(context, pool.borrow(0, _ARRIVAL_LIMIT_S))
        for _ in range(pool.limit_count)
    ]
    assert all(isinstance(one, ConnectionLease) for one in lent), lent
    context.lent = lent


@when('the connections are given back after a moment')
def give_back_all(context: Any) -> None:
    """Give back what was borrowed."""
    let_pass(context)
    for lease in context.lent:
        lease.release()


@when('caller {name} begins at another host and sends {word} without waiting')
def begin(context: Any, name: str, word: str) -> None:
    """Start the first statement of a transaction."""
    caller = _run(context, context.ownership.begin(name))
    context.tasks[name] = context.loop.create_task(caller.run(word))


@when('the {word} has reached member p')
def await_arrival(context: Any, word: str) -> None:
    """Wait for the request."""
    _run(
        context,
        context.ownership.member.await_arrival(word),
        _ARRIVAL_LIMIT_S,
    )


@when('the transaction of caller {name} is abandoned')
def abandon(context: Any, name: str) -> None:
    """Have it rolled back, as when the caller's host gives it up."""
    _run(context, _abandon(context.ownership.callers[name].transaction))


async def _abandon(transaction: Any) -> None:
    transaction.abandon()


@when('caller {name} has its answer')
def await_answer(context: Any, name: str) -> None:
    """Wait for the statement that was sent."""
    _run(context, asyncio.shield(context.tasks[name]))


@when('caller {name} commits')
def commit(context: Any, name: str) -> None:
    """Commit, whatever became of the statements."""
    _run(context, context.ownership.callers[name].commit())


@when('callers one and two of two hosts begin with one key and send write')
def begin_with_one_key(context: Any) -> None:
    """Run the first statements, one after another."""
    for name in ('one', 'two'):
        caller = context.ownership.begin_keyed(name, 'same')
        _run(context, caller.run('write'))


@when('caller one commits with that key')
def commit_with_key(context: Any) -> None:
    """Commit the transaction that was opened first."""
    commit(context, 'one')


@when('caller two, if its write succeeded, commits with that key')
def commit_other_with_key(context: Any) -> None:
    """Commit what the second caller believes to be open."""
    if context.ownership.callers['two'].writes:
        commit(context, 'two')


@when(
    'callers one and two of two hosts with equal clocks and random numbers begin'
)
def begin_alike(context: Any) -> None:
    """Let the processes of both hosts have come to the same point."""
    with (
        mock.patch.object(time, 'time_ns', lambda: 1),
        mock.patch.object(secrets, 'token_hex', lambda _: 'same'),
    ):
        for name in ('one', 'two'):
            _run(context, context.ownership.begin(name))


@then('two lives of one host make different keys')
def check_lives(context: Any) -> None:
    """Compare the first keys, with an equal clock or equal random numbers."""
    with mock.patch.object(time, 'time_ns', lambda: 1):
        assert TransactionKeys('one').make() != TransactionKeys('one').make()
    with mock.patch.object(secrets, 'token_hex', lambda _: 'same'):
        assert TransactionKeys('one').make() != TransactionKeys('one').make()


@when('relayed caller {name} sends {word}')
def send(context: Any, name: str, word: str) -> None:
    """Run a statement of its transaction."""
    _run(context, context.ownership.callers[name].run(word))


@then('all statements of the callers succeeded')
def check_all_succeeded(context: Any) -> None:
    """Compare what was sent with what succeeded."""
    for caller in context.ownership.callers.values():
        assert len(caller.succeeded) == caller.number, caller


@when('local caller {name} sends {words}')
def send_local(context: Any, name: str, words: str) -> None:
    """Send statements of a session, one after another."""
    world = context.ownership
    caller = world.callers.get(name) or world.open_local(name)
    for word in words.split(', '):
        _run(context, caller.send(word))


@given('names cannot be resolved')
def refuse_names(context: Any) -> None:
    """Let the resolver of the library fail."""
    refusing = mock.patch.object(
        context.loop, 'getaddrinfo', side_effect=OSError('no resolver')
    )
    refusing.start()
    context.add_cleanup(refusing.stop)


@when("the host's connections are closed")
def close_idle(context: Any) -> None:
    """Let the next statement open one."""
    context.ownership.pool.close_idle()


@then('all statements that were sent succeed')
def await_all(context: Any) -> None:
    """Wait for their answers."""
    for name, task in context.tasks.items():
        _run(context, asyncio.shield(task))
        assert context.ownership.callers[name].succeeded, name


@when('member p closes its connections')
def close_connections(context: Any) -> None:
    """Close them and let the host's network know."""
    context.ownership.member.close_sessions()
    let_pass(context)


@when('the host probes member p')
def probe(context: Any) -> None:
    """Ask whether it leads."""
    far = context.ownership.far
    _run(context, far.probe.ask(far.group, far.group.members['p']))


@when('the host asks member p for its status')
def ask_status(context: Any) -> None:
    """Ask as a survey of the group does."""
    far = context.ownership.far
    _run(context, control_requests.status_of(far.group.members['p']))


@when('a read is sent to member p, and a rollback on the same connection')
def send_two(context: Any) -> None:
    """Make the second request while the first is under way."""
    _run(context, _send_two(context))


async def _send_two(context: Any) -> None:
    world = context.ownership
    context.connection = await world.pool.borrow(0, _ARRIVAL_LIMIT_S)
    link = context.connection.link
    read = build_access('read', 'one')
    first = link.run('one-0', read, None, _ARRIVAL_LIMIT_S)
    context.calls = [asyncio.create_task(first)]
    await world.member.await_arrival('READ')
    second = link.rollback(_ARRIVAL_LIMIT_S)
    context.calls.append(asyncio.create_task(second))


@then('a later read on that connection gets its own answer, if it is open')
def check_later_read(context: Any) -> None:
    """Compare signatures; the second request may have failed."""
    answers = {'one-0': _run(context, _await_all(context.calls))[0]}
    link = context.connection.link
    if link.is_open:
        read = build_access('read', 'two')
        later = link.run('two-0', read, None, _ARRIVAL_LIMIT_S)
        answers['two-0'] = _run(context, later)
    for request_id, answer in answers.items():
        if isinstance(answer, Completed):
            expected = context.ownership.member.sign(request_id)
            assert answer.signature == expected, (request_id, answer)


async def _await_all(calls: Any) -> Any:
    return await asyncio.gather(*calls, return_exceptions=True)


@then('all replies to caller {name} are successes')
def check_successes(context: Any, name: str) -> None:
    """Look at the replies."""
    replies = context.ownership.callers[name].replies
    assert all(isinstance(reply, Success) for reply in replies), replies


@when('a moment passes')
def let_pass(context: Any) -> None:
    """Let requests that are under way arrive."""
    context.loop.run_until_complete(asyncio.sleep(_SETTLE_S))


@then('member p never had two requests at once on a connection')
def check_overlaps(context: Any) -> None:
    """Compare with what the member saw."""
    context.loop.run_until_complete(asyncio.sleep(_SETTLE_S))
    overlaps = context.ownership.member.overlaps
    assert not overlaps, overlaps


@then('all connections to member p are idle again')
def check_rest(context: Any) -> None:
    """Look at the pool and at the member's side of each connection."""
    for task in context.tasks.values():
        _run(context, asyncio.shield(task))
    faults = _run(context, context.ownership.await_idle())
    assert not faults, faults


@then('each success is signed for its own request')
def check_signatures(context: Any) -> None:
    """Compare the signatures that callers got."""
    world = context.ownership
    wrong = [
        (request_id, signature)
        for caller in world.callers.values()
        for request_id, signature in caller.signatures.items()
        if signature != world.member.sign(request_id)
    ]
    assert not wrong, wrong


@then('what member p keeps is what each caller was told')
def check_kept(context: Any) -> None:
    """Writes of a committed transaction are kept, and no others."""
    committed = context.ownership.member.committed
    for caller in context.ownership.callers.values():
        own = [
            request_id for request_id in committed if caller.owns(request_id)
        ]
        assert own == caller.reported_kept, (
            caller.name,
            own,
            caller.reported_kept,
        )


@then('each read ran with the values that its caller had then')
def check_values(context: Any) -> None:
    """Compare the values of the connections with the acknowledged ones."""
    for caller in context.ownership.callers.values():
        for member in context.ownership.members.values():
            for ran in member.executed:
                expected = caller.values[ran.request_id]
                assert ran.values == expected, (member.member_id, ran, expected)


@then('no task of the host failed')
def check_errors(context: Any) -> None:
    """Errors of tasks show when the tasks are collected."""
    gc.collect()
    assert not context.errors, context.errors


@then('no transaction at member p has statements of two callers')
def check_transactions(context: Any) -> None:
    """Compare the request ids of each transaction."""
    for ids in context.ownership.member.transactions:
        names = {request_id.partition('-')[0] for request_id in ids}
        assert len(names) <= 1, ids
