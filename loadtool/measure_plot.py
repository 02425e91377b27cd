"""Draws the published rows as SVG with matplotlib (extra ``plots``)."""

import pathlib
from collections.abc import Sequence
from typing import Any, Final

import matplotlib as mpl
from matplotlib import pyplot

from loadtool.measure_row import UNITS, MeasureRow

PLOT_PATH: Final = pathlib.Path('docs/measurements.svg')
_COLUMN_COUNT: Final = 4
_PANEL_SIZE_INCHES: Final = (3.2, 2.6)
# A fixed salt for the ids and no date in the metadata make the file depend on
# the rows alone.
_HASH_SALT: Final = 'mimosapond'


def draw(rows: Sequence[MeasureRow], path: pathlib.Path = PLOT_PATH) -> None:
    """Draw a panel per measure: medians as bars, ranges as error bars."""
    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = _HASH_SALT
    measures = [name for name in UNITS if _select_rows(rows, name)]
    panel_row_count = max(1, -(-len(measures) // _COLUMN_COUNT))
    width, height = _PANEL_SIZE_INCHES
    figure, panels = pyplot.subplots(
        panel_row_count,
        _COLUMN_COUNT,
        figsize=(width * _COLUMN_COUNT, height * panel_row_count),
        squeeze=False,
    )
    for panel in panels.flat[len(measures) :]:
        panel.set_visible(False)
    for panel, measure in zip(panels.flat, measures, strict=False):
        _draw_panel(panel, _select_rows(rows, measure))
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
    pyplot.close(figure)


def _select_rows(rows: Sequence[MeasureRow], measure: str) -> list[MeasureRow]:
    return [row for row in rows if row.measure == measure]


def _draw_panel(panel: Any, rows: Sequence[MeasureRow]) -> None:
    positions = range(len(rows))
    medians = [row.median for row in rows]
    distances_to_low = [row.median - row.low for row in rows]
    distances_to_high = [row.high - row.median for row in rows]
    colours = ['C0' if row.policy == 'chosen' else 'C7' for row in rows]
    panel.bar(
        positions,
        medians,
        yerr=(distances_to_low, distances_to_high),
        color=colours,
        capsize=3,
    )
    panel.set_xticks(
        positions,
        [f'{row.deployment}\n{row.policy}' for row in rows],
        fontsize=7,
    )
    panel.set_title(rows[0].measure, fontsize=8)
    panel.set_ylabel(rows[0].unit, fontsize=7)
    panel.tick_params(axis='y', labelsize=7)
