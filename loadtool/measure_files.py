"""Reads and writes samples, published rows and the page of measurements."""

import json
import pathlib
from collections.abc import Iterable, Sequence
from typing import Final

from loadtool.measure_row import MeasureRow, Sample, build_rows
from mimosapond import codec

ROWS_PATH: Final = pathlib.Path('docs/measurements.json')
PAGE_PATH: Final = pathlib.Path('docs/measurements.md')
TABLE_BEGIN: Final = '<!-- table begin -->'
TABLE_END: Final = '<!-- table end -->'


def append_samples(path: pathlib.Path, samples: Iterable[Sample]) -> None:
    """Append samples as JSON lines.

    Earlier samples stay in the file when a later run is interrupted.
    """
    with path.open('a', encoding='utf-8') as lines:
        for sample in samples:
            lines.write(f'{json.dumps(codec.encode(sample))}\n')


def load_samples(paths: Iterable[pathlib.Path]) -> list[Sample]:
    """Return the samples of all files, in the order of ``paths``."""
    return [
        codec.decode(Sample, json.loads(line))
        for path in paths
        for line in path.read_text(encoding='utf-8').splitlines()
    ]


def load_rows(path: pathlib.Path) -> tuple[MeasureRow, ...]:
    """Read the published rows."""
    rows = json.loads(path.read_text(encoding='utf-8'))
    return tuple(codec.decode(MeasureRow, row) for row in rows)


def write_rows(path: pathlib.Path, rows: Sequence[MeasureRow]) -> None:
    """Write the rows as a JSON list with one row per line."""
    lines = ',\n'.join(json.dumps(codec.encode(row)) for row in rows)
    path.write_text(f'[\n{lines}\n]\n', encoding='utf-8')


def publish(samples: Sequence[Sample]) -> None:
    """Write the rows, and replace the table in the page.

    The text of the page before ``TABLE_BEGIN`` and after ``TABLE_END`` stays.

    Raises
    ------
    ValueError, IndexError
        The page lacks one of the two markers. The rows are written by then.
    """
    rows = build_rows(samples)
    write_rows(ROWS_PATH, rows)
    page = PAGE_PATH.read_text(encoding='utf-8')
    before, rest = page.split(TABLE_BEGIN, 1)
    after = rest.split(TABLE_END, 1)[1]
    table = format_table(rows)
    PAGE_PATH.write_text(
        f'{before}{TABLE_BEGIN}\n{table}\n{TABLE_END}{after}',
        encoding='utf-8',
    )


def format_table(rows: Sequence[MeasureRow]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        '| deployment | measure | unit | policy | median | low | high | repeats |',
        '| --- | --- | --- | --- | --- | --- | --- | --- |',
    ]
    lines.extend(
        f'| {row.deployment} | {row.measure} | {row.unit} | {row.policy}'
        f' | {row.median:g} | {row.low:g} | {row.high:g} | {row.repeats} |'
        for row in rows
    )
    return '\n'.join(lines)
