"""Cost of one decision line, in microseconds and bytes, for several formats.

Run with ``python -m loadtool.log_bench``. Each way is measured in several
rounds, in turn, and the median round counts, since other load on the machine
makes single rounds slow.
"""

import json
import os
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any, Final, TextIO

import attrs
import fire
from loguru import logger

from mimosapond.decision_log import LoguruDecisionLog
from mimosapond.log_setup import JsonLineSink

_US_PER_S: Final = 1_000_000
_SECRETS: Final = ('example-peer-secret', 'example-operator-secret')
_FIGURES: Final = (
    ('request_id', '1764830000000.abcdefghijklmnop'),
    ('workspace', 'gate-shop'),
    ('member', 'forge-a-2'),
    ('work_class', 'urgent'),
    ('wait_ms', 12),
    ('data_age_ms', 180),
    ('max_age_ms', 2000),
    ('deadline_ms', 250),
)


@attrs.frozen
class Way:
    """One way to write decision lines."""

    name: str
    set_up: Callable[[TextIO], None]


def _serialized(stream: TextIO) -> None:
    logger.add(stream, format='{message}', serialize=True)


def _compact(stream: TextIO) -> None:
    logger.add(JsonLineSink(stream, _SECRETS), format='')


def _formatted(stream: TextIO) -> None:
    # Compact JSON through loguru's own formatter and stream sink.
    logger.add(stream, format=_format_line)


def _format_line(record: Any) -> str:
    fields = {'time': record['time'].isoformat(), 'event': record['message']}
    fields.update(record['extra'])
    record['extra']['line'] = json.dumps(fields, separators=(',', ':'))
    return '{extra[line]}\n'


_WAYS: Final = (
    Way('serialize=True', _serialized),
    Way('compact sink', _compact),
    Way('compact format function', _formatted),
)


def _run_round(way: Way, path: str, line_count: int) -> float:
    logger.remove()
    with open(path, 'w', encoding='utf-8') as stream:
        way.set_up(stream)
        log = LoguruDecisionLog('kigali-a-1.4f2a')
        start_s = time.perf_counter()
        for _ in range(line_count):
            log.record('read_routed', 'lowest_wait', **dict(_FIGURES))
        spent_s = time.perf_counter() - start_s
        logger.remove()
    return spent_s * _US_PER_S / line_count


def measure(
    path: str = '/dev/null',
    line_count: int = 5000,
    round_count: int = 5,
) -> None:
    """Print the cost of each way.

    Parameters
    ----------
    path
        File to write to; bytes are reported only for a real file.
    line_count, round_count
        Lines of one round, and rounds of each way.
    """
    rounds: dict[str, list[float]] = {way.name: [] for way in _WAYS}
    sizes: dict[str, int] = {}
    for _ in range(round_count):
        for way in _WAYS:
            rounds[way.name].append(_run_round(way, path, line_count))
            sizes[way.name] = os.path.getsize(path) // line_count
    for name, costs in rounds.items():
        sys.stdout.write(
            f'{name}: median {statistics.median(costs):.1f} us, '
            f'{min(costs):.1f} to {max(costs):.1f} us, '
            f'{sizes[name]} bytes per line\n',
        )


if __name__ == '__main__':
    fire.Fire(measure)
