"""Steps of admission.feature."""

import asyncio
import json
import statistics
from collections.abc import Callable
from typing import Any, Final, final

import attrs
from behave import given, then, when

from features.admission_model import ModelRun, Result, Stream, run_model
from features.admission_properties import check_nothing_left, open_admission
from features.group_builders import DATA_CENTRE, build_world
from features.virtual_loop import run_virtually
from mimosapond.boot_clock import boot_time_s
from mimosapond.groups.admission_permit import Permit
from mimosapond.groups.admission_request import AdmissionRequest, NotAdmitted
from mimosapond.groups.concurrency_limit import ConcurrencyLimit, Response
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_admission import Admission, MemberAdmission
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.statement_class import StatementClass
from mimosapond.platform.registration_codec import decode_registration
from mimosapond.routing.member_selector import MemberSelector

_MS_PER_S: Final = 1000
_SAMPLES_PER_S: Final = 10
_READ: Final = StatementClass(1)


@final
@attrs.frozen
class BusyHostAnswers:
    """What statements with little time left got from a busy host."""

    refusals: list[Admission]
    waits_s: list[float]
    retried: Admission


@given('streams of statements')
def set_streams(context: Any) -> None:
    """Set streams; a row with a number stands for so many workspaces."""
    context.streams = [
        Stream(
            f'{row["workspace"]}{number}',
            int(row['priority']),
            float(row['rate per s']),
            float(row['mean ms']) / _MS_PER_S,
            float(row['timeout s']),
            float(row['from s']),
            float(row['to s']),
        )
        for row in context.table
        for number in range(int(row['count']))
    ]


@given('the member has {changes}')
def set_changes(context: Any, changes: str) -> None:
    """Set changes such as ``slowness 3 at 2 s``."""
    words = [change.split() for change in changes.split(', ')]
    context.changes = [
        (float(at_s), name, float(value)) for name, value, _, at_s, _ in words
    ]


@given('a member of {slot_count:d} slots and {host_count:d} hosts')
def set_sizes(context: Any, slot_count: int, host_count: int) -> None:
    """Set the sizes of the model."""
    context.sizes = (slot_count, host_count)


def _run(context: Any, *, is_limited: bool = True) -> ModelRun:
    sizes = getattr(context, 'sizes', (5, 6))
    changes = getattr(context, 'changes', [])
    return run_model(context.streams, *sizes, changes, is_limited=is_limited)


@when('the load runs for 10 s')
def run_load(context: Any) -> None:
    """Run the model."""
    context.run = _run(context)
    context.hosts = context.run.hosts


@when('the load runs for 10 s, with the limit and without it')
def run_load_twice(context: Any) -> None:
    """Run the model twice."""
    run_load(context)
    context.unlimited = _run(context, is_limited=False).hosts


def _select(context: Any, predicate: Callable[[Stream], bool]) -> list[Result]:
    return [each for each in context.hosts.results if predicate(each.stream)]


def _is_other(stream: Stream) -> bool:
    return stream.workspace != 'hot0'


def _check_share(results: list[Result], share: float) -> None:
    served = sum(each.is_served for each in results) / len(results)
    assert served >= share, served


def _check_quantile(
    durations_s: list[float], percent: int, limit_ms: int
) -> None:
    quantile_ms = (
        statistics.quantiles(durations_s, n=100)[percent - 1] * _MS_PER_S
    )
    assert quantile_ms <= limit_ms, quantile_ms


@then(
    'at least {share:g} of the statements of priority {priority:d} are served'
)
def check_priority_share(context: Any, share: float, priority: int) -> None:
    """Check the share that was answered before its deadline."""
    results = _select(context, lambda each: each.priority == priority)
    _check_share(results, share)


@then(
    '{percent:d} of 100 statements of priority {priority:d} are answered '
    'within {limit_ms:d} ms'
)
def check_priority_time(
    context: Any, percent: int, priority: int, limit_ms: int
) -> None:
    """Check a quantile of the response times, with refusals."""
    results = _select(context, lambda each: each.priority == priority)
    durations_s = [each.duration_s for each in results]
    _check_quantile(durations_s, percent, limit_ms)


@then('at least {share:g} of the statements of the other workspaces are served')
def check_other_share(context: Any, share: float) -> None:
    """Check the share that was answered before its deadline."""
    _check_share(_select(context, _is_other), share)


@then(
    '{percent:d} of 100 statements of the other workspaces are answered '
    'within {limit_ms:d} ms'
)
def check_other_time(context: Any, percent: int, limit_ms: int) -> None:
    """Check a quantile of the response times, with refusals."""
    durations_s = [each.duration_s for each in _select(context, _is_other)]
    _check_quantile(durations_s, percent, limit_ms)


@then('the member rejects at most {percent:d} of 100 statements')
def check_rejected_share(context: Any, percent: int) -> None:
    """Check that the member was not flooded."""
    member = context.hosts.member
    share = member.rejected_count / member.asked_count
    assert share * 100 <= percent, share


@then(
    'its slots are used at least {ratio:g} in each second from {start:d} s on'
)
def check_use(context: Any, ratio: float, start: int) -> None:
    """Check that the member was not idle while statements waited."""
    busy_s = [each.busy_s for each in context.run.samples]
    for second in range(start, 9):
        first = second * _SAMPLES_PER_S
        used_s = busy_s[first + _SAMPLES_PER_S] - busy_s[first]
        use = used_s / context.hosts.member.slot_count
        assert use >= ratio, (second, use)


@then(
    'the limits of all hosts together are at most {count:d} from {start:d} s on'
)
def check_limits(context: Any, count: int, start: int) -> None:
    """Check that the limit falls."""
    samples = context.run.samples[start * _SAMPLES_PER_S :]
    highest = max(each.limit_count for each in samples)
    assert highest <= count, highest


@then('each host knows that the member refuses more than {ratio:g}')
def check_refusal_ratio(context: Any, ratio: float) -> None:
    """Check the share that the selector uses."""
    for each in context.hosts.admissions:
        found = each.limit.refusal_ratio
        assert found > ratio, found


@then('the mean wait for admission is at most {limit_ms:d} ms')
def check_mean_wait(context: Any, limit_ms: int) -> None:
    """Check the time that the limit adds at a host."""
    wait_s = statistics.mean(each.wait_s for each in context.hosts.results)
    assert wait_s * _MS_PER_S <= limit_ms, wait_s


@then(
    'the mean response time with the limit is at most {factor:g} times the '
    'other'
)
def check_mean(context: Any, factor: float) -> None:
    """Check that the limit adds no time."""
    means_s = [
        statistics.mean(each.duration_s for each in hosts.results)
        for hosts in (context.hosts, context.unlimited)
    ]
    assert means_s[0] <= means_s[1] * factor, means_s


@given('a host whose statements of {mean_ms:d} ms fill the limit and the queue')
def use_busy_host(context: Any, mean_ms: int) -> None:
    """Keep the service time for the steps that follow."""
    context.mean_s = mean_ms / _MS_PER_S


@when('{count:d} more statements with {left_ms:d} ms left ask for admission')
def ask_busy_host(context: Any, count: int, left_ms: int) -> None:
    """Ask a host with a queue of 20, and again after the retry time."""
    context.answers = run_virtually(
        _ask_busy_host(context.mean_s, count, left_ms / _MS_PER_S)
    )


async def _ask_busy_host(
    mean_s: float, count: int, left_s: float
) -> BusyHostAnswers:
    loop = asyncio.get_running_loop()
    admission = open_admission()
    waiting = [
        asyncio.create_task(_serve(admission, mean_s)) for _ in range(20)
    ]
    await asyncio.sleep(0)
    refusals, waits_s = [], []
    for _ in range(count):
        asked_s = loop.time()
        request = AdmissionRequest(_READ, '', asked_s + left_s)
        refusals.append(await admission.admit(request))
        waits_s.append(loop.time() - asked_s)
    retry_ms = max(
        each.retry_after_ms
        for each in refusals
        if isinstance(each, NotAdmitted)
    )
    await asyncio.sleep(retry_ms / _MS_PER_S)
    retried = await admission.admit(
        AdmissionRequest(_READ, '', loop.time() + left_s)
    )
    await asyncio.gather(*waiting)
    return BusyHostAnswers(refusals, waits_s, retried)


async def _serve(admission: MemberAdmission, mean_s: float) -> None:
    loop = asyncio.get_running_loop()
    permit = await admission.admit(
        AdmissionRequest(_READ, '', loop.time() + _MS_PER_S)
    )
    assert isinstance(permit, Permit)
    permit.start()
    await asyncio.sleep(mean_s)
    permit.release()


@then('they are refused at once with different times to retry after')
def check_refused_at_once(context: Any) -> None:
    """Check the refusals."""
    assert all(
        isinstance(each, NotAdmitted) for each in context.answers.refusals
    )
    assert max(context.answers.waits_s) == 0, context.answers.waits_s
    times_ms = {each.retry_after_ms for each in context.answers.refusals}
    assert len(times_ms) > len(context.answers.refusals) // 2, times_ms


@then('a statement that asks again after the longest of them is admitted')
def check_retried(context: Any) -> None:
    """Check that the retry time was long enough."""
    assert isinstance(context.answers.retried, Permit), context.answers.retried


@then(
    'any sequence of arrivals, cancellations and answers leaves nothing behind'
)
def check_sequences(context: Any) -> None:
    """Run the property test."""
    check_nothing_left()


@given('a host whose permits all wait for a connection')
def use_waiting_host(context: Any) -> None:
    """Nothing to prepare; the host is built in the loop of the next step."""


@when('a statement of an open transaction and a new one ask for admission')
def ask_in_transaction(context: Any) -> None:
    """Ask for both, the new one first."""
    context.outcomes = run_virtually(_ask_in_transaction())


async def _ask_in_transaction() -> tuple[bool, bool]:
    admission = open_admission()
    deadline_s = asyncio.get_running_loop().time() + 1
    request = AdmissionRequest(_READ, '', deadline_s)
    for _ in range(admission.limit.count):
        await admission.admit(request)
    new = asyncio.create_task(admission.admit(request))
    await asyncio.sleep(0)
    in_transaction = asyncio.create_task(
        admission.admit(
            AdmissionRequest(_READ, '', deadline_s, is_in_transaction=True)
        )
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    outcome = in_transaction.done(), new.done()
    new.cancel()
    return outcome


@then('the statement of the transaction is admitted and the other one waits')
def check_in_transaction(context: Any) -> None:
    """Check both outcomes."""
    assert context.outcomes == (True, False), context.outcomes


@given('a limit that has grown to {count:d}')
def grow_limit(context: Any, count: int) -> None:
    """Grow a limit by successes."""
    context.limit = ConcurrencyLimit(0)
    context.limit.max_count = 20
    context.now_s = 0
    while context.limit.count < count:
        context.now_s += 0.02
        context.limit.record(Response.succeeded, _READ, 0.02, 20, context.now_s)


@when('{count:d} reads are answered after 2 s of waiting for a log position')
def answer_late(context: Any, count: int) -> None:
    """Record responses whose latency is that of the replication."""
    for _ in range(count):
        context.now_s += 0.02
        context.limit.record(Response.waited, _READ, 2, 8, context.now_s)


@then('the limit is at least {count:d}')
def check_limit(context: Any, count: int) -> None:
    """Check the limit."""
    assert context.limit.count >= count, context.limit.count


@given('two replicas with the same latency, one of which refuses 40%')
def build_replicas(context: Any) -> None:
    """Record refusals at replica a."""
    context.world = build_world()
    member = context.world.group.members['a']
    limit = member.admission.limit
    for number in range(100):
        is_refused = number % 5 < 2
        response = Response.refused if is_refused else Response.succeeded
        limit.record(response, _READ, 0.02, 1, number / 100)


@then('reads go to the other replica')
def check_choice(context: Any) -> None:
    """Check that only the primary and the refusing replica are left."""
    selector = MemberSelector(DATA_CENTRE, boot_time_s)
    group = context.world.group
    chosen = selector.choose(group, LogPosition(1, 1), [group.members['p']])
    assert chosen is group.members['b'], chosen


@given('a registration with slots {slots} and cold_left_ms {cold}')
def decode_hints(context: Any, slots: str, cold: str) -> None:
    """Decode a registration; ``none`` leaves a hint out."""
    entry = {
        'service': 'g',
        'addr': '127.0.0.1:1',
        'zone': 'z',
        'state': 'ready',
    }
    hints = {'slots': slots, 'cold_left_ms': cold}
    for name, text in hints.items():
        if text != 'none':
            entry[name] = json.loads(text)
    context.record = decode_registration('m', json.dumps(entry).encode())


@then('the record has slot count {count} and warm-up {warm_up}')
def check_hints(context: Any, count: str, warm_up: str) -> None:
    """Check the hints."""
    record = context.record
    assert isinstance(record, MemberRecord), record
    found = str(record.slot_count), str(record.warm_up_left_ms)
    assert found == (count, warm_up), found
