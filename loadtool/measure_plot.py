"""Draws the published rows as SVG; needs matplotlib (extra ``plots``)."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

import matplotlib as mpl
from matplotlib import pyplot

from loadtool.measure_row import UNITS, MeasureRow

PLOT_PATH: Final = pathlib.Path('docs/measurements.svg')
_COLUMN_COUNT: Final = 4
_PANEL_INCHES: Final = (3.2, 2.6)
# Fixed ids and no date, so that the same rows give the same file.
_HASH_SALT: Final = 'mimosapond'


def draw(rows: Sequence[MeasureRow], path: pathlib.Path = PLOT_PATH) -> None:
    """Draw one panel per measure with medians and ranges."""
    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = _HASH_SALT
    measures = [name for name in UNITS if _of_measure(rows, name)]
    line_count = max(1, -(-len(measures) // _COLUMN_COUNT))
    width, height = _PANEL_INCHES
    figure, panels = pyplot.subplots(
        line_count,
        _COLUMN_COUNT,
        figsize=(width * _COLUMN_COUNT, height * line_count),
        squeeze=False,
    )
    for panel in panels.flat[len(measures) :]:
        panel.set_visible(False)
    for panel, measure in zip(panels.flat, measures, strict=False):
        _draw_panel(panel, _of_measure(rows, measure))
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    pyplot.close(figure)


def _of_measure(rows: Sequence[MeasureRow], measure: str) -> list[MeasureRow]:
    return [row for row in rows if row.measure == measure]


def _draw_panel(panel: Any, rows: Sequence[MeasureRow]) -> None:
    places = range(len(rows))
    medians = [row.median for row in rows]
    below = [row.median - row.low for row in rows]
    above = [row.high - row.median for row in rows]
    colours = ['C0' if row.policy == 'chosen' else 'C7' for row in rows]
    panel.bar(places, medians, yerr=(below, above), color=colours, capsize=3)
    panel.set_xticks(
        places,
        [f'{row.deployment}\n{row.policy}' for row in rows],
        fontsize=7,
    )
    panel.set_title(rows[0].measure, fontsize=8)
    panel.set_ylabel(rows[0].unit, fontsize=7)
    panel.tick_params(axis='y', labelsize=7)
