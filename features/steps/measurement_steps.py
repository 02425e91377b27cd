"""Steps for the arithmetic of the measuring command."""

import asyncio
import functools
import itertools
import math
import pathlib
import random
import tempfile

from behave import given, then, when

from loadtool.arrivals import Phase, poisson_arrivals, steady_arrivals
from loadtool.cpu_time import parse_cpu_s
from loadtool.latency_histogram import LatencyHistogram
from loadtool.measure_files import ROWS_PATH, load_rows, write_rows
from loadtool.measure_row import UNITS, Sample, build_rows
from loadtool.measure_run import plan_trials
from loadtool.open_loop import run_open_loop
from loadtool.staleness_checker import StalenessChecker
from loadtool.slot_use import busy_ratio
from loadtool.write_gap import longest_gap_s

_POLICIES = ('chosen', 'baseline')


def _parse_numbers(text):
    return [float(word) for word in text.split()]


def _parse_pairs(text):
    return [tuple(map(float, word.split(':'))) for word in text.split()]


@when('the measuring command plans phases "{phases}" with seed {seed:d}')
def step_plan_phases(context, phases, seed):
    planned = [Phase(*pair) for pair in _parse_pairs(phases)]
    context.arrivals = list(poisson_arrivals(planned, random.Random(seed)))


@then('planned arrivals ascend and end before {end_s:g} s')
def step_check_order(context, end_s):
    assert context.arrivals == sorted(context.arrivals)
    assert 0 < context.arrivals[-1] < end_s


@then(
    'the planned arrivals from {from_s:g} s to {to_s:g} s are within'
    ' 4 standard deviations of {expected:d}',
)
def step_check_rate(context, from_s, to_s, expected):
    arrivals_s = [
        arrival_s
        for arrival_s in context.arrivals
        if from_s <= arrival_s < to_s
    ]
    assert abs(len(arrivals_s) - expected) <= 4 * math.sqrt(expected), len(
        arrivals_s
    )


@when(
    'the measuring command plans {duration_s:g} s of {rate:g} steady arrivals'
    ' a second',
)
def step_plan_steady(context, duration_s, rate):
    context.arrivals = list(steady_arrivals(Phase(duration_s, rate)))


@then('the planned arrivals are "{moments}"')
def step_check_moments(context, moments):
    assert context.arrivals == _parse_numbers(moments), context.arrivals


@when(
    'the measuring command starts {count:d} arrivals that end only after'
    ' the last',
)
def step_run_open_loop(context, count):
    context.events = []
    asyncio.run(_run_blocked(context.events, count))


async def _run_blocked(events, count):
    all_started = asyncio.Barrier(count)
    work = functools.partial(_work_until, all_started, events)
    async with asyncio.timeout(60):
        await run_open_loop(itertools.repeat(0, count), work)


async def _work_until(all_started, events, _number, _scheduled_s):
    events.append('scheduled')
    await all_started.wait()
    events.append('ended')


@then(
    'the measured work was scheduled {count:d} times before any of it ended',
)
def step_check_open_loop(context, count):
    assert context.events[:count].count('scheduled') == count
    assert context.events[count:].count('ended') == count


@when(
    'acknowledged writes at "{moments}" are measured from {begin_s:g} to'
    ' {end_s:g}',
)
def step_measure_gap(context, moments, begin_s, end_s):
    context.gap_s = longest_gap_s(_parse_numbers(moments), begin_s, end_s)


@when('acknowledged writes at "" are measured from {begin_s:g} to {end_s:g}')
def step_measure_no_writes(context, begin_s, end_s):
    context.gap_s = longest_gap_s([], begin_s, end_s)


@then('the measured gap is {gap_s:g} s')
def step_check_gap(context, gap_s):
    assert context.gap_s == gap_s, context.gap_s


@when(
    'the measured busy time of members rises from "{before}" to "{after}" ms'
    ' with {slots:d} slots in {duration_s:g} s',
)
def step_measure_busy(context, before, after, slots, duration_s):
    context.ratio = busy_ratio(
        dict(enumerate(_parse_numbers(before))),
        dict(enumerate(_parse_numbers(after))),
        slots,
        duration_s,
    )


@then('the measured busy ratio is {ratio:g}')
def step_check_busy(context, ratio):
    assert context.ratio == ratio, context.ratio


@when(
    'writes "{writes}" are acknowledged and a read measured at {asked_s:g} s'
    ' with bound {age_s:g} s sees {seen:d} in a session that wrote {own:d}',
)
def step_measure_read(context, writes, asked_s, age_s, seen, own):
    check = StalenessChecker()
    for moment_s, number in _parse_pairs(writes):
        check.acknowledge('row', int(number), moment_s)
    oldest = check.oldest_allowed('row', asked_s, age_s)
    context.is_stale = check.is_stale(seen, own, oldest)


@then('the measured read is {verdict}')
def step_check_read(context, verdict):
    assert context.is_stale == (verdict == 'stale')


@when('latencies from 1 to {last:d} ms are measured once each')
def step_measure_latencies(context, last):
    context.latencies = LatencyHistogram()
    for latency_ms in range(1, last + 1):
        context.latencies.record(latency_ms / 1000)


@then('the measured percentiles are close to "{expected}"')
def step_check_percentiles(context, expected):
    for percentile, latency_ms in _parse_pairs(expected):
        measured_ms = context.latencies.percentile_ms(percentile)
        assert math.isclose(measured_ms, latency_ms, rel_tol=0.01), measured_ms


@when('the measured process line is "{line}"')
def step_read_line(context, line):
    context.line = line


@then('the measured processor time at {ticks:d} ticks a second is {cpu_s:g} s')
def step_check_cpu(context, ticks, cpu_s):
    assert parse_cpu_s(context.line, ticks) == cpu_s


@given('measured samples')
def step_samples(context):
    context.rows = build_rows(
        Sample(
            row['deployment'],
            row['policy'],
            row['measure'],
            float(row['value']),
            1,
            'abc',
        )
        for row in context.table
    )


@then('the measured rows are')
def step_check_rows(context):
    expected = [tuple(row) for row in context.table]
    measured = [
        (
            row.deployment,
            row.policy,
            row.measure,
            row.unit,
            f'{row.median:g}',
            f'{row.low:g}',
            f'{row.high:g}',
            str(row.repeats),
        )
        for row in context.rows
    ]
    assert measured == expected, measured


@then('the measured rows are the same after they are written and read')
def step_check_file(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'rows.json'
        write_rows(path, context.rows)
        assert load_rows(path) == context.rows


@when(
    'the measuring command plans "{names}" of {deployment} with seeds'
    ' "{seeds}"',
)
def step_plan_trials(context, names, deployment, seeds):
    numbers = [int(seed) for seed in seeds.split()]
    context.trials = list(plan_trials(deployment, names.split(), numbers))


@then('the planned trials are')
def step_check_trials(context):
    planned = [
        (
            trial.policy,
            str(trial.seed),
            ' '.join(trial.measures),
            'yes' if trial.is_proxied else 'no',
        )
        for trial in context.trials
    ]
    assert planned == [tuple(row) for row in context.table], planned


@when('the published measurements are read')
def step_read_published(context):
    context.rows = load_rows(ROWS_PATH)


@then('each published deployment and policy has all measures')
def step_check_complete(context):
    deployments = {row.deployment for row in context.rows}
    measured = {
        (row.deployment, row.policy, row.measure) for row in context.rows
    }
    assert deployments == {'forge', 'gemlab'}
    assert measured == set(itertools.product(deployments, _POLICIES, UNITS))
    assert len(measured) == len(context.rows)


@then('each published row has its unit, a commit and an ordered range')
def step_check_fields(context):
    for row in context.rows:
        assert row.unit == UNITS[row.measure]
        assert row.commit
        assert row.low <= row.median <= row.high
        assert row.repeats > 0
