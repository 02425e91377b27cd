"""Measures the time and the bytes of one decision line, for several formats.

Run with ``python -m loadtool.log_bench``. The formats take turns in several
rounds, and the median over the rounds is printed, because other load on the
machine slows single rounds down.
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
_HIDDEN_SECRETS: Final = ('example-peer-secret', 'example-operator-secret')
_FIELDS: Final = (
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
class LineFormat:
    """A format of decision lines.

    Attributes
    ----------
    add_sink
        Adds a sink to the logger that writes lines of the format to a stream.
    """

    name: str
    add_sink: Callable[[TextIO], None]


def _add_serialized(stream: TextIO) -> None:
    logger.add(stream, format='{message}', serialize=True)


def _add_compact(stream: TextIO) -> None:
    logger.add(JsonLineSink(stream, _HIDDEN_SECRETS), format='')


def _add_formatted(stream: TextIO) -> None:
    # Writes compact JSON through the formatter and stream sink of loguru.
    logger.add(stream, format=_format_line)


def _format_line(record: Any) -> str:
    fields = {'time': record['time'].isoformat(), 'event': record['message']}
    fields.update(record['extra'])
    record['extra']['line'] = json.dumps(fields, separators=(',', ':'))
    return '{extra[line]}\n'


_LINE_FORMATS: Final = (
    LineFormat('serialize=True', _add_serialized),
    LineFormat('compact sink', _add_compact),
    LineFormat('compact format function', _add_formatted),
)


def _run_round(line_format: LineFormat, path: str, line_count: int) -> float:
    logger.remove()
    with open(path, 'w', encoding='utf-8') as stream:
        line_format.add_sink(stream)
        log = LoguruDecisionLog('kigali-a-1.4f2a')
        start_s = time.perf_counter()
        for _ in range(line_count):
            log.record('read_routed', 'lowest_wait', **dict(_FIELDS))
        elapsed_s = time.perf_counter() - start_s
        logger.remove()
    return elapsed_s * _US_PER_S / line_count


def measure(
    path: str = '/dev/null',
    line_count: int = 5000,
    round_count: int = 5,
) -> None:
    """Print the time and the bytes per line of each format.

    Parameters
    ----------
    path
        File to write to. The bytes per line are 0 for a device such as
        ``/dev/null``.
    line_count, round_count
        Number of lines per round, and number of rounds for each format.
    """
    rounds: dict[str, list[float]] = {
        line_format.name: [] for line_format in _LINE_FORMATS
    }
    line_bytes: dict[str, int] = {}
    for _ in range(round_count):
        for line_format in _LINE_FORMATS:
            rounds[line_format.name].append(
                _run_round(line_format, path, line_count)
            )
            line_bytes[line_format.name] = os.path.getsize(path) // line_count
    for name, costs in rounds.items():
        sys.stdout.write(
            f'{name}: median {statistics.median(costs):.1f} us, '
            f'{min(costs):.1f} to {max(costs):.1f} us, '
            f'{line_bytes[name]} bytes per line\n',
        )


if __name__ == '__main__':
    fire.Fire(measure)
