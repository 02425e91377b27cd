"""Steps of scheduling.feature that use an owner and asyncio tasks."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Any

from behave import given, then, when

from features.scheduling_builders import (
    OPTIONS,
    build_member,
    build_owner,
    build_ticket,
)
from features.scheduling_fakes import (
    FakeClock,
    FakeTarget,
    RecordingDecisions,
    settle_tasks,
)
from mimosapond.metrics import NullMetrics
from mimosapond.owner_registry import OwnerRegistry
from mimosapond.refused import Refused
from mimosapond.slot_grant import SlotGrant


def in_loop(step: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an asynchronous step in the event loop of the scenario."""

    @functools.wraps(step)
    def wrapper(context: Any, **arguments: Any) -> None:
        context.runner.run(step(context, **arguments))

    return wrapper


async def start(context: Any, **changes: Any) -> 'asyncio.Task[Any]':
    """Start a task that acquires a grant, and let it run until it waits."""
    ticket = build_ticket(**changes)
    task = asyncio.create_task(context.owner.acquire(ticket))
    await settle_tasks()
    return task


async def grant(context: Any, **changes: Any) -> SlotGrant:
    """Acquire a grant that must be available without waiting."""
    task = await start(context, **changes)
    granted = task.result()
    assert isinstance(granted, SlotGrant), granted
    return granted


async def cancel(task: 'asyncio.Task[Any]') -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await settle_tasks()
    assert task.cancelled()


@given('an owner of a member with {slots:d} slots')
def build_one(context: Any, slots: int) -> None:
    """Build an owner and an event loop for the scenario."""
    context.runner = asyncio.Runner()
    context.add_cleanup(context.runner.close)
    context.clock = FakeClock()
    context.target = FakeTarget()
    context.decisions = RecordingDecisions()
    context.owner = build_owner(
        context.target, context.clock, context.decisions, slots
    )


async def cancel_waiting(context: Any) -> None:
    """Cancel the first of two waiting callers."""
    held = await grant(context)
    first = await start(context)
    context.next = await start(context)
    await cancel(first)
    held.release(reusable=True)


async def cancel_granted(context: Any) -> None:
    """Cancel after the slot was granted and before the task runs again."""
    held = await grant(context)
    first = await start(context)
    context.next = await start(context)
    held.release(reusable=True)
    await cancel(first)


async def cancel_connecting(context: Any) -> None:
    """Cancel while the connection is being opened."""
    context.target.mode = 'hang'
    first = await start(context)
    context.target.mode = 'open'
    context.next = await start(context)
    await cancel(first)


async def cancel_resuming(context: Any, *, is_granted: bool) -> None:
    """Cancel a parked transaction that resumes.

    Parameters
    ----------
    is_granted
        Whether the slot is granted before the cancellation; the task has not
        run again at that time.
    """
    parked = await grant(context, keeps_connection=True)
    assert parked.park()
    held = await grant(context)
    resuming = asyncio.create_task(parked.resume(build_ticket()))
    await settle_tasks()
    context.next = await start(context)
    if is_granted:
        held.release(reusable=True)
    await cancel(resuming)
    held.release(reusable=True)
    parked.release(reusable=False)


async def release_resuming(context: Any) -> None:
    """Release a transaction from another task while it resumes."""
    for is_granted in (False, True):
        parked = await grant(context, keeps_connection=True)
        assert parked.park()
        held = await grant(context)
        resuming = asyncio.create_task(parked.resume(build_ticket()))
        await settle_tasks()
        if is_granted:
            held.release(reusable=True)
        parked.release(reusable=False)
        assert (await resuming).reason == 'no_transaction'
        assert not parked.park()
        held.release(reusable=True)
    context.next = await start(context)


@when("the owner's caller is cancelled while {moment}")
@in_loop
async def cancel_caller(context: Any, moment: str) -> None:
    """Cancel the caller at the given moment."""
    moments = {
        'it waits': cancel_waiting,
        'its slot is granted but it has not run': cancel_granted,
        'it connects': cancel_connecting,
        'it waits to resume': lambda given_context: cancel_resuming(
            given_context, is_granted=False
        ),
        'its resumption is granted but not run': (
            lambda given_context: cancel_resuming(
                given_context, is_granted=True
            )
        ),
        'another task releases it': release_resuming,
    }
    await moments[moment](context)


@then("the owner's next caller is served")
@in_loop
async def check_next(context: Any) -> None:
    """Check that the caller queued after the cancelled caller has a grant."""
    await settle_tasks()
    assert context.next.done()
    context.grant = context.next.result()
    assert isinstance(context.grant, SlotGrant), context.grant


@then('the owner has no slot or connection in use after the release')
def check_nothing_in_use(context: Any) -> None:
    """Release the last grant twice and check that all counts are zero."""
    context.grant.release(reusable=True)
    context.grant.release(reusable=True)
    owner = context.owner
    assert not (owner.running_count or owner.held_count)
    assert not owner.queue_length_count


@when("the owner's second caller waits past its deadline")
@in_loop
async def expire_second(context: Any) -> None:
    """Occupy the slot until the deadline of the second caller has passed."""
    context.grant = await grant(context, request_id='first')
    context.second = await start(
        context, request_id='second', deadline_s=1000.25
    )
    await context.clock.advance(0.2)
    assert not context.second.done()
    await context.clock.advance(0.05)


@then('the owner\'s second caller is refused with "{reason}"')
def check_second(context: Any, reason: str) -> None:
    """Compare the reason of the refusal."""
    assert context.second.done()
    assert context.second.result().reason == reason


@when("the owner's target fails for {count:d} callers")
@in_loop
async def fail_connects(context: Any, count: int) -> None:
    """Let every attempt to connect fail."""
    context.target.mode = 'fail'
    tasks = [await start(context) for _ in range(count)]
    context.refusals = await asyncio.gather(*tasks)


@then('the owner\'s callers are refused with "{reason}"')
def check_refusals(context: Any, reason: str) -> None:
    """Compare the reason and the retry time of all refusals."""
    assert {refusal.reason for refusal in context.refusals} == {reason}
    assert all(refusal.retry_after_ms == 50 for refusal in context.refusals)


@then("the owner's target got {count:d} connection attempt")
def check_attempts(context: Any, count: int) -> None:
    """Compare the number of attempts to connect."""
    assert context.target.attempt_count == count


@then("the owner's callers are served again after the back-off")
@in_loop
async def check_backoff(context: Any) -> None:
    """Fail once more, which doubles the back-off, then succeed."""
    await context.clock.advance(0.05)
    refusal = (await start(context)).result()
    assert isinstance(refusal, Refused)
    assert refusal.retry_after_ms == 100, refusal
    context.target.mode = 'open'
    await context.clock.advance(0.1)
    (await grant(context)).release(reusable=True)


@when("the owner's grant is released as {kind}")
@in_loop
async def release_as(context: Any, kind: str) -> None:
    """Release a grant in the given state."""
    granted = await grant(context)
    context.connection = granted.connection
    if kind == 'closed':
        context.connection.close()
    granted.release(reusable=kind != 'not reusable')


@then("the owner's next grant has the {which} connection")
@in_loop
async def check_connection(context: Any, which: str) -> None:
    """Check whether two grants have the same connection."""
    granted = await grant(context)
    is_same = granted.connection is context.connection
    assert is_same == (which == 'same')
    assert context.connection.is_open == is_same


@then("the owner's target has {count:d} open connection")
def check_open(context: Any, count: int) -> None:
    """Compare the number of open connections."""
    assert context.target.open_count == count


@when("the owner's callers begin {count:d} transactions and park them")
@in_loop
async def park_many(context: Any, count: int) -> None:
    """Begin transactions; a begin beyond the limit waits."""
    tasks = [await start(context, keeps_connection=True) for _ in range(2)]
    for _ in range(count - 2):
        _park_done(tasks)
        tasks.append(await start(context, keeps_connection=True))
    _park_done(tasks)
    context.parked_count = sum(task.done() for task in tasks)


def _park_done(tasks: list['asyncio.Task[SlotGrant]']) -> None:
    for task in tasks:
        if task.done():
            assert task.result().park()


@then('the owner has {parked:d} parked and grants {count:d} more single '
      'statements')  # fmt: skip
@in_loop
async def check_parked(context: Any, parked: int, count: int) -> None:
    """Compare the number of parked grants and acquire further grants."""
    assert context.parked_count == parked, context.parked_count
    context.grants = [await grant(context) for _ in range(count)]


@then('the owner refuses to park a sixth')
def check_unparked(context: Any) -> None:
    """Check that a grant which cannot be parked keeps its slot."""
    assert not context.grants[0].park()
    assert context.owner.running_count == 2


@when('the owner is stopped with one grant held and one caller waiting')
@in_loop
async def stop_owner(context: Any) -> None:
    """Start to stop the owner while a grant is held and a caller waits."""
    context.grant = await grant(context)
    context.second = await start(context)
    context.stop = asyncio.create_task(context.owner.stop())
    await settle_tasks()


@then('the owner\'s waiting caller is refused with "{reason}"')
@in_loop
async def check_stopped(context: Any, reason: str) -> None:
    """Compare the refusals of waiting and of new work."""
    new = await start(context)
    assert new.result().reason == reason
    assert context.second.result().reason == reason


@then("the owner's stop ends only after the release")
@in_loop
async def check_stop(context: Any) -> None:
    """Check that the owner stops once the held grant is released."""
    assert not context.stop.done()
    context.grant.release(reusable=True)
    await settle_tasks()
    assert context.stop.done()


@then('the owner registry reuses a draining owner')
@in_loop
async def check_registry(context: Any) -> None:
    """Drop a member with a held grant and request its owner again."""
    target, clock = FakeTarget(), FakeClock()
    registry = OwnerRegistry(
        target,  # type: ignore[arg-type]
        OPTIONS,
        clock,
        RecordingDecisions(),
        NullMetrics(),
    )
    context.owner = registry.ensure(build_member())
    assert registry.ensure(build_member()) is context.owner
    held = await grant(context)
    drop = asyncio.create_task(registry.drop('forge-a-1'))
    await settle_tasks()
    assert registry.owner('forge-a-1') is None
    assert registry.ensure(build_member()) is context.owner
    await drop
    assert registry.owner('forge-a-1') is context.owner
    (await grant(context)).release(reusable=True)
    changed = registry.ensure(build_member(slot_count=3))
    assert changed is not context.owner
    held.release(reusable=True)


@then("the owner's decision lines are complete")
def check_lines(context: Any) -> None:
    """Compare the decision lines of one grant and one refusal."""
    common = {
        'group': 'forge-a',
        'term': 3,
        'member': 'forge-a-1',
        'work_class': 'interactive',
    }
    expected = [
        ('slot_granted', 'slot_free', 'first', 0),
        ('slot_refused', 'deadline_exceeded', 'second', 250),
    ]
    assert context.decisions.lines == [
        {
            'decision': decision,
            'reason': reason,
            'request_id': name,
            'queue_length_count': 0,
            'wait_ms': wait_ms,
            **common,
        }
        for decision, reason, name, wait_ms in expected
    ], context.decisions.lines
