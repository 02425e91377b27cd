"""Samples of measures, and the published rows that summarize them."""

import statistics
import types
from collections.abc import Iterable, Sequence
from typing import Final, final

import attrs

# Unit of each published measure, in the order of docs/measurements.json.
UNITS: Final = types.MappingProxyType(
    {
        'replica_read_share_ratio': 'ratio',
        'stale_reads_count': 'count',
        'write_gap_s': 's',
        'write_gap_store_down_s': 's',
        'false_promotions_count': 'count',
        'urgent_deadline_met_ratio': 'ratio',
        'crest_slot_busy_ratio': 'ratio',
        'short_wait_p99_ms': 'ms',
        'short_wait_p99_with_long_ms': 'ms',
        'added_latency_p50_ms': 'ms',
        'added_latency_p99_ms': 'ms',
        'cpu_per_statement_us': 'us',
        'statements_per_second_per_host': '1/s',
    }
)
_DIGIT_COUNT: Final = 4


@final
@attrs.frozen
class Sample:
    """The value of a measure in one repeat.

    Attributes
    ----------
    deployment
        Name of the deployment, ``forge`` or ``gemlab``.
    policy
        ``chosen`` for the policy of the product, or ``baseline``.
    value
        The value in the unit that ``UNITS`` gives for the measure.
    seed
        Seed of the load.
    commit
        Short id of the measured commit.
    """

    deployment: str
    policy: str
    measure: str
    value: float
    seed: int
    commit: str


@final
@attrs.frozen
class MeasureRow:
    """Median and range of a measure over its repeats.

    Attributes
    ----------
    median, low, high
        Median, smallest and largest value, in ``unit``.
    repeats
        Number of samples.
    commit
        Short id of the commit of the last sample.
    """

    deployment: str
    policy: str
    measure: str
    unit: str
    median: float
    low: float
    high: float
    repeats: int
    commit: str


def build_rows(samples: Iterable[Sample]) -> tuple[MeasureRow, ...]:
    """Return a row for each deployment, policy and published measure.

    Samples of measures that ``UNITS`` does not list are left out. Rows are
    sorted by deployment, then by the order of ``UNITS``, then by policy.
    """
    samples_by_key: dict[tuple[str, str, str], list[Sample]] = {}
    for sample in samples:
        key = (sample.deployment, sample.policy, sample.measure)
        samples_by_key.setdefault(key, []).append(sample)
    measure_order = list(UNITS)
    published_keys = [key for key in samples_by_key if key[2] in UNITS]
    published_keys.sort(key=lambda key: key[1])
    published_keys.sort(key=lambda key: measure_order.index(key[2]))
    published_keys.sort(key=lambda key: key[0])
    return tuple(_build_row(samples_by_key[key]) for key in published_keys)


def _build_row(samples: Sequence[Sample]) -> MeasureRow:
    first_sample = samples[0]
    values = [sample.value for sample in samples]
    return MeasureRow(
        deployment=first_sample.deployment,
        policy=first_sample.policy,
        measure=first_sample.measure,
        unit=UNITS[first_sample.measure],
        median=round(statistics.median(values), _DIGIT_COUNT),
        low=round(min(values), _DIGIT_COUNT),
        high=round(max(values), _DIGIT_COUNT),
        repeats=len(values),
        commit=samples[-1].commit,
    )
