"""Steps of transactions.feature."""

import asyncio
import signal
from typing import Any, Final

from behave import given, then, when

from features.live_world import DEADLINE_MS, LiveWorld, live_world
from features.terms_world import World, build_run, note, request_id
from mimosapond.completed import Completed
from mimosapond.outcome import Outcome
from mimosapond.outcome_query import OutcomeQuery
from mimosapond.refused import Refused

_FAILOVER_TIMEOUT_S: Final = 10
_SETTLE_TIMEOUT_S: Final = 10
_COMMIT_DEADLINE_MS: Final = 1500
_DISCONNECT_WAIT_S: Final = 0.3
_SEND_WAIT_S: Final = 0.5


@given('transactions deployment of {count:d} hosts')
def start_deployment(context: Any, count: int) -> None:
    """Start real processes and remember the transactions by name."""
    world = live_world(context, count)
    context.holder = world.holder()
    context.names = {}
    context.request_ids = {}
    context.begins = {}


@given('transactions "{name}" is open')
def open_transaction(context: Any, name: str) -> None:
    """Begin through a host that does not hold the term."""
    begin_transaction(context, name)
    check_begun(context, name)


@when('transactions "{name}" begins in the background')
def begin_transaction(context: Any, name: str) -> None:
    """Begin without waiting for the answer."""
    world: LiveWorld = context.live
    entry = world.others(context.holder)[0]
    request = world.begin()
    context.request_ids[name] = request.request_id
    context.begins[name] = world.loop.create_task(
        world.client.begin(entry.caller_address, request),
    )


@when('transactions "{name}" has begun')
def check_begun(context: Any, name: str) -> None:
    """Wait for the answer to the begin.

    The begin is repeated if it waited too long for the write lock of the
    other transaction, which happens on a loaded machine.
    """
    outcome = context.live.run(context.begins[name])
    if isinstance(outcome, Refused) and 'write lock' in outcome.message:
        begin_transaction(context, name)
        outcome = context.live.run(context.begins[name])
    assert isinstance(outcome, Completed), outcome
    context.names[name] = outcome.transaction_id


@when('transactions "{name}" runs the row "{row}" through host {index:d}')
def run_row(context: Any, name: str, row: str, index: int) -> None:
    """Insert a row in the transaction."""
    world: LiveWorld = context.live
    outcome = world.run(
        world.transact(
            world.hosts[index],
            context.names[name],
            'statements',
            row,
            request_id=context.request_ids[name],
        ),
    )
    assert isinstance(outcome, Completed), outcome


@when('transactions "{name}" ends with "{operation}" through host {index:d}')
def end_transaction(
    context: Any,
    name: str,
    operation: str,
    index: int,
) -> None:
    """Commit or roll back a transaction."""
    world: LiveWorld = context.live
    outcome = world.run(_call(context, name, operation, index))
    assert isinstance(outcome, Completed), outcome


@then('transactions "{operation}" of the ended "{name}" is "{result}"')
def check_ended(
    context: Any,
    operation: str,
    name: str,
    result: str,
) -> None:
    """Make a call in an ended transaction and compare the result."""
    outcome = context.live.run(_call(context, name, operation, 0))
    reason = outcome.reason if isinstance(outcome, Refused) else ''
    assert result in {outcome.outcome, reason}, outcome


@then('transactions row "{row}" exists {count:d} times')
def check_row(context: Any, row: str, count: int) -> None:
    """Count the row in the primary's log."""
    assert context.live.count(row) == count, context.live.count(row)


@when('transactions holder is killed')
def kill_holder(context: Any) -> None:
    """Kill the holder's process, so that it answers no call."""
    world: LiveWorld = context.live
    world.run(_holder_process(context).kill())
    # The entry hosts need time to notice that the connection is closed.
    world.run(asyncio.sleep(_DISCONNECT_WAIT_S))


@when('transactions holder is killed while the commit {state}')
def kill_at_commit(context: Any, state: str) -> None:
    """Kill the holder before the commit arrives or before it is replicated."""
    world: LiveWorld = context.live
    if state == 'has not reached it':
        _holder_process(context).send_signal(signal.SIGSTOP)
    else:
        _set_shipping(context, is_paused=True)
    commit = world.loop.create_task(
        _commit(context, 'one', _COMMIT_DEADLINE_MS),
    )
    world.run(asyncio.sleep(_SEND_WAIT_S))
    world.run(_holder_process(context).kill())
    context.outcome = world.run(commit)
    _set_shipping(context, is_paused=False)


@then('transactions commit of "{name}" is "{outcome}"')
def check_commit(context: Any, name: str, outcome: str) -> None:
    """Commit through another host and compare the outcome."""
    answer = context.live.run(_commit(context, name))
    assert answer.outcome == outcome, answer


@then('transactions commit of "{name}" was "{outcome}"')
def check_earlier_commit(context: Any, name: str, outcome: str) -> None:
    """Compare the outcome of the commit that was interrupted."""
    assert context.outcome.outcome == outcome, (name, context.outcome)


@then('transactions group is served by another holder')
def wait_holder(context: Any) -> None:
    """Wait until another host holds the term."""
    world: LiveWorld = context.live
    view = world.deployment.view
    world.wait_until(
        lambda: (
            not world.run(view(world.group))['holder'].startswith(
                f'{context.holder.name}.',
            )
        ),
        _FAILOVER_TIMEOUT_S,
    )


@then('transactions settling "{name}" gives "{outcome}"')
def settle(context: Any, name: str, outcome: str) -> None:
    """Settle until the outcome is known and compare it."""
    world: LiveWorld = context.live
    query = OutcomeQuery(
        service=world.deployment.spec.service,
        workspace=world.workspace,
        request_id=context.request_ids[name],
    )
    address = world.others(context.holder)[1].caller_address
    world.wait_until(
        lambda: _settle(world, address, query).outcome != 'unknown',
        _SETTLE_TIMEOUT_S,
    )
    answer = _settle(world, address, query)
    assert answer.outcome == outcome, answer


@given('transactions terms with "{one}" and "{other}" open')
def open_two(context: Any, one: str, other: str) -> None:
    """Begin two transactions at one holder."""
    world = World()
    context.add_cleanup(world.close)
    context.world = world
    assert world.acquire_term('h1', 'm1')
    context.names = {}
    for name in (one, other):
        run = build_run(request_id(world, name), ())
        begun = world.run(world.hosts['h1'].holder.begin(run))
        assert isinstance(begun, Completed), begun
        context.names[name] = begun.transaction_id


@when('transactions terms run "{row}" in "{name}"')
def run_note(context: Any, row: str, name: str) -> None:
    """Write a note in one of the two transactions."""
    world = context.world
    outcome = world.run(
        world.hosts['h1'].holder.execute(
            context.names[name],
            (note(row),),
            _COMMIT_DEADLINE_MS,
        ),
    )
    assert isinstance(outcome, Completed), outcome


@when('transactions terms commit "{one}" and roll back "{other}"')
def end_two(context: Any, one: str, other: str) -> None:
    """End both transactions."""
    world = context.world
    holder = world.hosts['h1'].holder
    for call, name in ((holder.commit, one), (holder.rollback, other)):
        outcome = world.run(call(context.names[name], _COMMIT_DEADLINE_MS))
        assert isinstance(outcome, Completed), outcome


@then('transactions terms hold "{row}" {count:d} times')
def check_note(context: Any, row: str, count: int) -> None:
    """Count the note in the primary's data."""
    assert context.world.count_notes(row) == count


def _settle(world: LiveWorld, address: str, query: OutcomeQuery) -> Outcome:
    return world.run(world.client.settle(address, query))


async def _commit(
    context: Any,
    name: str,
    deadline_ms: int = DEADLINE_MS,
) -> Outcome:
    world: LiveWorld = context.live
    return await world.transact(
        world.others(context.holder)[1],
        context.names[name],
        'commit',
        request_id=context.request_ids[name],
        deadline_ms=deadline_ms,
    )


async def _call(
    context: Any,
    name: str,
    operation: str,
    index: int,
) -> Outcome:
    world: LiveWorld = context.live
    rows = (f'{name}-late',) if operation == 'statements' else ()
    return await world.transact(
        world.hosts[index],
        context.names[name],
        operation,
        *rows,
        request_id=context.request_ids[name],
    )


def _holder_process(context: Any) -> Any:
    processes = context.live.deployment.processes
    return processes.children[context.holder.name]


def _set_shipping(context: Any, *, is_paused: bool) -> None:
    world: LiveWorld = context.live
    world.run(
        world.deployment.set_member_settings(
            world.primary(), ship_paused=is_paused
        ),
    )
