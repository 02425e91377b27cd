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
from mimosapond.groups.connection_pool import ConnectionPool
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.member_answer import Completed
from mimosapond.peers.transaction_keys import TransactionKeys
from mimosapond.statements.reply import Success

_SETTLE_S: Final = 0.1
_ARRIVAL_LIMIT_S: Final = 2
_ANSWER_LIMIT_S: Final = 3
# More refusals than the statements of a scenario can use up.
_UNLIMITED_REFUSAL_COUNT: Final = 10_000
# Python's int() rejects more than 4300 digits by default.
_OVERLONG_DIGIT_COUNT: Final = 5000


def _run(context: Any, call: Any, limit_s: float = _ANSWER_LIMIT_S) -> Any:
    return context.loop.run_until_complete(asyncio.wait_for(call, limit_s))


@given(
    'a host with {count:d} connection to p that serves callers of other hosts'
)
@given(
    'a host with {count:d} connections to p that serves callers of other hosts'
)
def build_host(context: Any, count: int) -> None:
    """Build the host; the calls of other hosts reach it over HTTP."""
    _build(context, count)


@given('a host with {count:d} connections each to p and replica a')
def build_host_of_two(context: Any, count: int) -> None:
    """Build the host, with latencies that make reads try the replica first."""
    _build(context, count, 'a')
    members = context.ownership.host.group.members
    members['a'].load.latency_s = 0
    members['p'].load.latency_s = 1


def _build(context: Any, count: int, *names: str) -> None:
    context.loop = asyncio.new_event_loop()
    context.loop.set_exception_handler(
        functools.partial(_collect_error, context)
    )
    context.add_cleanup(_close, context)
    context.errors = []
    context.tasks = {}
    context.ownership = _run(context, build_ownership_world(count, *names))


def _collect_error(context: Any, loop: Any, details: dict[str, Any]) -> None:
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


@given('member {member} blocks each {word}')
def block_requests(context: Any, member: str, word: str) -> None:
    """Make the member hold back such requests until it resumes."""
    context.ownership.members[member].blocked_parts.add(word)


@when('member {member} resumes after a short time')
def resume(context: Any, member: str) -> None:
    """Make the member answer the requests that it held back."""
    let_pass(context)
    context.ownership.members[member].blocked_parts.clear()
    let_pass(context)


@given('member p refuses the next WRITE after blocking it')
def block_and_refuse(context: Any) -> None:
    """Make the member send the refusal when it resumes."""
    member = context.ownership.member
    member.blocked_parts.add('WRITE')
    member.refusals.append(Refusal('WRITE', 'RETRY', 'E'))


@given('member p answers the next {word} with the lines {lines}')
def replace_answer(context: Any, word: str, lines: str) -> None:
    """Make the member execute the request and send these lines instead."""
    text = lines.replace('5000 digits', '1' * _OVERLONG_DIGIT_COUNT)
    context.ownership.member.replaced_answers[word] = text.split('/')


@given('member p sends its next answer to {word} twice')
def repeat_answer(context: Any, word: str) -> None:
    """Make the member send an answer without a request."""
    context.ownership.member.repeated_words.add(word)


@given('member p refuses each WRITE of caller one as busy until a rollback')
def refuse_writes(context: Any) -> None:
    """Make the member refuse as busy while the transaction is open."""
    member = context.ownership.member
    member.refusals.append(
        Refusal(
            'WRITE one',
            'RETRY',
            'T',
            _UNLIMITED_REFUSAL_COUNT,
            until='ROLLBACK',
        )
    )


@given('member p answers the next {part} with {code} and state {state}')
def refuse_next(context: Any, part: str, code: str, state: str) -> None:
    """Make the member refuse one request and report this state after it."""
    refusal = Refusal(part, code, state)
    context.ownership.member.refusals.append(refusal)


@given('the rollback of caller one starts as its READ is answered')
def roll_back_with_answer(context: Any) -> None:
    """Start the rollback in the loop iteration in which the answer arrives."""
    world = context.ownership
    context.answered = asyncio.Event()
    world.member.watchers.append(
        functools.partial(_roll_back_on_read, context, world)
    )


def _roll_back_on_read(context: Any, world: Any, request: Request) -> None:
    if not request.text.startswith('READ one'):
        return
    for key in tuple(world.relay_handler.open_keys):
        context.loop.call_soon(world.relay_handler.roll_back, key)
    # The answer to the rollback is delayed, as on a real network.
    blocked_parts = world.member.blocked_parts
    blocked_parts.add('ROLLBACK')
    context.loop.call_later(_SETTLE_S, blocked_parts.discard, 'ROLLBACK')
    context.answered.set()


@when('local callers two, three and four send read as soon as it is answered')
def read_at_once(context: Any) -> None:
    """Send the reads one after another, whether or not they succeed."""
    _run(context, context.answered.wait())
    for name in ('two', 'three', 'four'):
        caller = context.ownership.open_local(name)
        with contextlib.suppress(AssertionError):
            _run(context, caller.send('read'))


@given('all connections to member p are borrowed')
def borrow_all(context: Any) -> None:
    """Borrow as many connections as the pool may open."""
    pool = context.ownership.pool
    leases = [
        _run(context, pool.borrow(0, _ARRIVAL_LIMIT_S))
        for _ in range(pool.limit_count)
    ]
    assert all(isinstance(lease, ConnectionLease) for lease in leases), leases
    context.leases = leases


@when('the connections are released after a short time')
def release_all(context: Any) -> None:
    """Release the borrowed connections."""
    let_pass(context)
    for lease in context.leases:
        lease.release()


@when('caller {name} begins at another host and sends {word} without waiting')
def begin(context: Any, name: str, word: str) -> None:
    """Send the first statement of a transaction as a task."""
    caller = _run(context, context.ownership.begin(name))
    context.tasks[name] = context.loop.create_task(caller.run(word))


@when('the {word} has reached member p')
def await_arrival(context: Any, word: str) -> None:
    """Wait until the member has received the request."""
    _run(
        context,
        context.ownership.member.await_arrival(word),
        _ARRIVAL_LIMIT_S,
    )


@when('the transaction of caller {name} is abandoned')
def abandon(context: Any, name: str) -> None:
    """Abandon the transaction, as the caller's host does; it is rolled back."""
    _run(context, _abandon(context.ownership.callers[name].transaction))


async def _abandon(transaction: Any) -> None:
    transaction.abandon()


@when('caller {name} has received its answer')
def await_answer(context: Any, name: str) -> None:
    """Wait for the answer to the statement that was sent last."""
    _run(context, asyncio.shield(context.tasks[name]))


@when('caller {name} commits')
def commit(context: Any, name: str) -> None:
    """Commit, whether or not the statements succeeded."""
    _run(context, context.ownership.callers[name].commit())


@when('callers one and two of two hosts begin with the same key and send write')
def begin_with_one_key(context: Any) -> None:
    """Run the first statement of each caller, one after another."""
    for name in ('one', 'two'):
        caller = context.ownership.begin_keyed(name, 'same')
        _run(context, caller.run('write'))


@when('caller one commits with that key')
def commit_with_key(context: Any) -> None:
    """Commit the transaction that was opened first."""
    commit(context, 'one')


@when('caller two, if its write succeeded, commits with that key')
def commit_second_with_key(context: Any) -> None:
    """Commit the transaction that the second caller considers open."""
    if context.ownership.callers['two'].writes:
        commit(context, 'two')


@when('callers one and two begin at hosts with equal clocks and random numbers')
def begin_with_equal_sources(context: Any) -> None:
    """Begin at two hosts whose clocks and random numbers are equal."""
    with (
        mock.patch.object(time, 'time_ns', lambda: 1),
        mock.patch.object(secrets, 'token_hex', lambda _: 'same'),
    ):
        for name in ('one', 'two'):
            _run(context, context.ownership.begin(name))


@then('two processes of one host make different keys')
def check_process_keys(context: Any) -> None:
    """Compare first keys, with equal clocks and with equal random numbers."""
    with mock.patch.object(time, 'time_ns', lambda: 1):
        assert TransactionKeys('one').make() != TransactionKeys('one').make()
    with mock.patch.object(secrets, 'token_hex', lambda _: 'same'):
        assert TransactionKeys('one').make() != TransactionKeys('one').make()


@when('relayed caller {name} sends {word}')
def send(context: Any, name: str, word: str) -> None:
    """Run a statement in the transaction of the caller."""
    _run(context, context.ownership.callers[name].run(word))


@then('all statements of the callers succeeded')
def check_all_succeeded(context: Any) -> None:
    """Compare the numbers of statements sent and succeeded."""
    for caller in context.ownership.callers.values():
        assert len(caller.succeeded) == caller.sent_count, caller


@when('local caller {name} sends {words}')
def send_local(context: Any, name: str, words: str) -> None:
    """Send the statements in one session, one after another."""
    world = context.ownership
    caller = world.callers.get(name) or world.open_local(name)
    for word in words.split(', '):
        _run(context, caller.send(word))


@given('name resolution fails')
def break_resolver(context: Any) -> None:
    """Make name lookups of the event loop raise an error."""
    failing = mock.patch.object(
        context.loop, 'getaddrinfo', side_effect=OSError('no resolver')
    )
    failing.start()
    context.add_cleanup(failing.stop)


@when('the host closes its idle connections')
def close_idle(context: Any) -> None:
    """Close them, so that the next statement opens a new connection."""
    _run(context, _close_idle(context.ownership.pool))


async def _close_idle(pool: ConnectionPool) -> None:
    pool.close_idle()


@then('all statements that were sent succeed')
def check_sent_succeed(context: Any) -> None:
    """Wait for the answers and compare them."""
    for name, task in context.tasks.items():
        _run(context, asyncio.shield(task))
        assert context.ownership.callers[name].succeeded, name


@when('member p closes its connections')
def close_connections(context: Any) -> None:
    """Close them and wait until the host can notice it."""
    context.ownership.member.close_sessions()
    let_pass(context)


@when('the host probes member p')
def probe(context: Any) -> None:
    """Ask whether the member is the primary."""
    host = context.ownership.host
    _run(context, host.probe.ask(host.group, host.group.members['p']))


@when('the host asks member p for its status')
def ask_status(context: Any) -> None:
    """Send the status request that a survey of the group sends."""
    host = context.ownership.host
    _run(context, control_requests.fetch_status(host.group.members['p']))


@when('a read is sent to member p, and a rollback on the same connection')
def send_concurrently(context: Any) -> None:
    """Send the second request while the first is in flight."""
    _run(context, _send_concurrently(context))


async def _send_concurrently(context: Any) -> None:
    world = context.ownership
    context.lease = await world.pool.borrow(0, _ARRIVAL_LIMIT_S)
    link = context.lease.link
    read = build_access('read', 'one')
    first = link.run('one-0', read, None, _ARRIVAL_LIMIT_S)
    context.calls = [asyncio.create_task(first)]
    await world.member.await_arrival('READ')
    second = link.rollback(_ARRIVAL_LIMIT_S)
    context.calls.append(asyncio.create_task(second))


@then('a later read on that connection gets its own answer, if it is open')
def check_later_read(context: Any) -> None:
    """Compare the signatures; the second request may have failed."""
    answers = {'one-0': _run(context, _await_all(context.calls))[0]}
    link = context.lease.link
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
    """Check the type of each reply."""
    replies = context.ownership.callers[name].replies
    assert all(isinstance(reply, Success) for reply in replies), replies


@when('a short time passes')
def let_pass(context: Any) -> None:
    """Wait until requests in flight have arrived."""
    context.loop.run_until_complete(asyncio.sleep(_SETTLE_S))


@then('member p never had two requests at once on a connection')
def check_overlaps(context: Any) -> None:
    """Check that the member saw no overlapping requests."""
    context.loop.run_until_complete(asyncio.sleep(_SETTLE_S))
    overlaps = context.ownership.member.overlaps
    assert not overlaps, overlaps


@then('all connections to member p are idle again')
def check_idle(context: Any) -> None:
    """Check the pool and the member's side of each connection."""
    for task in context.tasks.values():
        _run(context, asyncio.shield(task))
    faults = _run(context, context.ownership.await_idle())
    assert not faults, faults


@then('each success has the signature of its own request')
def check_signatures(context: Any) -> None:
    """Compare the signatures that callers received."""
    world = context.ownership
    wrong = [
        (request_id, signature)
        for caller in world.callers.values()
        for request_id, signature in caller.signatures.items()
        if signature != world.member.sign(request_id)
    ]
    assert not wrong, wrong


@then('the writes kept by member p match what each caller was told')
def check_kept(context: Any) -> None:
    """Compare the committed writes with those reported as kept."""
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


@then('each read ran with the session values that its caller had set by then')
def check_values(context: Any) -> None:
    """Compare the values at the member with those acknowledged before."""
    for caller in context.ownership.callers.values():
        for member in context.ownership.members.values():
            for statement in member.executed:
                expected = caller.values[statement.request_id]
                assert statement.values == expected, (
                    member.member_id,
                    statement,
                    expected,
                )


@then('no task of the host failed')
def check_errors(context: Any) -> None:
    """Collect garbage, as asyncio reports unread errors of tasks only then."""
    gc.collect()
    assert not context.errors, context.errors


@then('no transaction at member p has statements of two callers')
def check_transactions(context: Any) -> None:
    """Compare the callers in the request ids of each transaction."""
    for ids in context.ownership.member.transactions:
        names = {request_id.partition('-')[0] for request_id in ids}
        assert len(names) <= 1, ids
