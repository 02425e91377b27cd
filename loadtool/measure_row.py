"""One published figure: a measure of one deployment under one policy."""

import statistics
import types
from collections.abc import Iterable, Sequence
from typing import Final, final

import attrs

# The rows of docs/measurements.json, in order, with their units.
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
    """The value of a measure in one repeat."""

    deployment: str
    policy: str
    measure: str
    value: float
    seed: int
    commit: str


@final
@attrs.frozen
class MeasureRow:
    """Median and range over the repeats."""

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
    """Return a row for each deployment, policy and published measure."""
    cells: dict[tuple[str, str, str], list[Sample]] = {}
    for sample in samples:
        key = (sample.deployment, sample.policy, sample.measure)
        cells.setdefault(key, []).append(sample)
    order = list(UNITS)
    published = [key for key in cells if key[2] in UNITS]
    published.sort(key=lambda key: key[1])
    published.sort(key=lambda key: order.index(key[2]))
    published.sort(key=lambda key: key[0])
    return tuple(_build_row(cells[key]) for key in published)


def _build_row(samples: Sequence[Sample]) -> MeasureRow:
    first = samples[0]
    values = [sample.value for sample in samples]
    return MeasureRow(
        deployment=first.deployment,
        policy=first.policy,
        measure=first.measure,
        unit=UNITS[first.measure],
        median=round(statistics.median(values), _DIGIT_COUNT),
        low=round(min(values), _DIGIT_COUNT),
        high=round(max(values), _DIGIT_COUNT),
        repeats=len(values),
        commit=samples[-1].commit,
    )
