"""Steps of scheduling.feature that use a scheduler without an owner."""

from typing import Any

from behave import given, then, when

from features.scheduling_builders import build_scheduler, build_ticket
from features.scheduling_fakes import RecordingDecisions
from features.scheduling_properties import (
    check_random_operations,
    check_starvation,
)
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.scheduler_invariant_error import SchedulerInvariantError
from mimosapond.work_claim import WorkClaim
from mimosapond.work_class import WorkClass
from mimosapond.work_state import WorkState

START_S = 1000  # Value of the monotonic clock when a scenario starts.


def offer(
    context: Any, now_s: float = START_S, **changes: Any
) -> ScheduledWork:
    """Offer one ticket to the scheduler of the scenario."""
    ticket = build_ticket(**changes)
    return context.scheduler.offer(ticket, WorkClaim.SINGLE, now_s)


def offer_all(context: Any, arrivals: str) -> None:
    """Offer ``name/class/deadline`` entries in order.

    The deadline is in seconds from the start of the scenario.
    """
    for arrival in arrivals.split():
        name, work_class, left_s = arrival.split('/')
        context.works[name] = offer(
            context,
            name=name,
            work_class=WorkClass(work_class),
            deadline_s=START_S + float(left_s),
        )


@given('a scheduler with {slots:d} slots and {limit:d} connections')
def build_plain(context: Any, slots: int, limit: int) -> None:
    """Build a scheduler with the default queue limit."""
    context.decisions = RecordingDecisions()
    context.scheduler = build_scheduler(context.decisions, slots, limit)
    context.works = {}


@given('a scheduler with {slots:d} slots and a queue of {length:d}')
def build_bounded(context: Any, slots: int, length: int) -> None:
    """Build a scheduler with a limit on the queue length."""
    context.decisions = RecordingDecisions()
    context.scheduler = build_scheduler(
        context.decisions, slots, queue_limit_count=length
    )
    context.works = {}


@given('scheduler work "{arrivals}" behind a running statement')
def queue_work(context: Any, arrivals: str) -> None:
    """Occupy the only slot, then queue the arrivals."""
    context.works['first'] = offer(context, name='first')
    offer_all(context, arrivals)


@when('the scheduler gets work "{arrivals}"')
def queue_more(context: Any, arrivals: str) -> None:
    """Offer the arrivals in order."""
    offer_all(context, arrivals)


@when("the scheduler's slots are freed one by one")
def free_all(context: Any) -> None:
    """Finish each piece of work after it was granted a slot."""
    served: list[str] = []
    while len(served) < len(context.works):
        served.append(context.decisions.names('slot_granted')[len(served)])
        work = context.works[served[-1]]
        context.scheduler.finish(work, work, START_S)


@then('the scheduler\'s order of service is "{order}"')
def check_order(context: Any, order: str) -> None:
    """Compare the order of the grants after the first."""
    granted = context.decisions.names('slot_granted')[1:]
    assert granted == order.split(), granted


@when('the scheduler gets the running work "{running}"')
@when('the scheduler gets the running work ""')
def run_work(context: Any, running: str = '') -> None:
    """Start long and short work."""
    for duration in running.split():
        work = offer(context, is_long=duration == 'long')
        assert work.state is WorkState.RUNNING


@when('the scheduler gets work "{duration}" that waits {waited:g} s')
def wait_work(context: Any, duration: str, waited: float) -> None:
    """Offer work and advance the time."""
    context.work = offer(context, is_long=duration == 'long')
    context.scheduler.advance(START_S + waited)


@then('the scheduler\'s work "{duration}" {state}')
def check_state(context: Any, duration: str, state: str) -> None:
    """Check whether the work has started."""
    is_running = context.work.state is WorkState.RUNNING
    assert is_running == (state == 'runs'), context.work.state


@when('the scheduler observes runs of {first:d} ms and then {second:d} ms')
def observe_runs(context: Any, first: int, second: int) -> None:
    """Add the durations of two runs of one SQL text to the estimate."""
    context.scheduler.estimator.add_duration('f', first)
    context.scheduler.estimator.add_duration('f', second)


@then('the scheduler expects {cost:d} ms and classifies the statement as long')
def check_estimate(context: Any, cost: int) -> None:
    """Check the estimated cost and the class of work with that SQL text."""
    assert context.scheduler.estimator.expected_ms('f') == cost
    assert offer(context, is_long=None).is_long
    assert not offer(context, is_long=None, fingerprint='other').is_long


@then("the scheduler's table of costs stays bounded")
def check_bounded(context: Any) -> None:
    """Add the durations of more SQL texts than the table holds."""
    for number in range(3000):
        context.scheduler.estimator.add_duration(str(number), 1)
    assert len(context.scheduler.estimator) == 2048


@then('the scheduler holds at most {cap:d} connections and parks {parked:d}')
def check_shares(context: Any, cap: int, parked: int) -> None:
    """Compare the limits that are derived from those of the member."""
    capacity = context.scheduler.capacity
    assert capacity.connection_cap_count == cap, capacity.connection_cap_count
    assert capacity.keeping_limit_count == parked


@when('the scheduler gets {count:d} statements of workspace "{name}" limited '
      'to {limit:d}')  # fmt: skip
def offer_workspace(context: Any, count: int, name: str, limit: int) -> None:
    """Offer statements of one workspace."""
    for number in range(count):
        context.works[name, number] = offer(
            context, workspace=name, connection_limit_count=limit
        )


@then('the scheduler runs workspaces "{names}"')
def check_workspaces(context: Any, names: str) -> None:
    """Compare the workspaces of running work."""
    running = [
        work.ticket.workspace
        for work in context.works.values()
        if work.state is WorkState.RUNNING
    ]
    assert running == names.split(), running


@then('after the deadline the scheduler\'s refusals are "{reason}"')
def check_expired(context: Any, reason: str) -> None:
    """Compare the reasons of refusal after the waiting work has expired."""
    context.scheduler.advance(START_S + 60)
    reasons = [
        line['reason']
        for line in context.decisions.lines
        if line['decision'] == 'slot_refused'
    ]
    assert reasons == [reason, reason], reasons


@given("the scheduler's statements cost {cost:d} ms and {queued:d} urgent "
       'ones wait')  # fmt: skip
def fill_queue(context: Any, cost: int, queued: int) -> None:
    """Occupy both slots and queue urgent statements."""
    context.scheduler.estimator.add_duration('f', cost)
    for _ in range(queued + 2):
        offer(context, work_class=WorkClass.URGENT)


@when('the scheduler gets {work_class} work with {left:g} ms left')
def offer_with_deadline(context: Any, work_class: str, left: float) -> None:
    """Offer work with a given time until its deadline."""
    context.work = offer(
        context,
        work_class=WorkClass(work_class),
        deadline_s=START_S + left / 1000,
    )


@then('the scheduler answers {verdict} with retry after {retry:d} ms')
def check_verdict(context: Any, verdict: str, retry: int) -> None:
    """Compare the state or the refusal."""
    refusal = context.work.refusal
    if refusal is None:
        assert verdict == 'waiting', context.work.state
    else:
        assert refusal.reason == verdict, refusal
        assert refusal.retry_after_ms == retry, refusal


@then('the scheduler\'s refused work is "{names}"')
def check_refused(context: Any, names: str) -> None:
    """Compare the names of the refused work in the order of refusal."""
    refused = context.decisions.names('slot_refused')
    assert refused == names.split(), refused


@then("the scheduler's queue holds {length:d}")
def check_length(context: Any, length: int) -> None:
    """Compare the number of waiting requests."""
    assert context.scheduler.queue_length_count == length


@then('the scheduler raises when a second slot is taken')
def check_slot_limit(context: Any) -> None:
    """Take more slots than the member has."""
    context.work = offer(context)
    try:
        context.scheduler.capacity.take_slot(context.work)
    except SchedulerInvariantError as error:
        assert 'running <= slots' in str(error)
    else:
        raise AssertionError('no error')
    context.scheduler.capacity.running_count = 1


@then('the scheduler raises when eligible work is left waiting')
def check_work_conserving(context: Any) -> None:
    """Free a connection without an update of the index of eligible queues."""
    offer(context, connection_limit_count=1)
    context.scheduler.capacity.free_slot(context.work)
    context.scheduler.capacity.free_connection(context.work)
    try:
        context.scheduler.advance(START_S)
    except SchedulerInvariantError as error:
        assert 'no free slot while' in str(error)
    else:
        raise AssertionError('no error')


@then('random scheduler operations agree with the model')
def run_random_operations(context: Any) -> None:
    """Check the property with Hypothesis."""
    check_random_operations()


@then('random urgent scheduler load lets batch work start after aging')
def run_starvation(context: Any) -> None:
    """Check the property with Hypothesis."""
    check_starvation()
