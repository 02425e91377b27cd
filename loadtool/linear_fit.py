"""Least-squares fit of a line to measured points."""

from collections.abc import Sequence
from typing import Self, final

import attrs
import numpy as np


@final
@attrs.frozen
class LinearFit:
    """Slope, intercept and largest relative error of the fitted points.

    Attributes
    ----------
    slope, intercept
        Parameters of the line ``y = intercept + slope * x``.
    error_ratio
        Largest absolute residual divided by the largest absolute y value.
    """

    slope: float
    intercept: float
    error_ratio: float

    @classmethod
    def of(cls, points: Sequence[tuple[float, float]]) -> Self:
        """Fit points (x, y); at least two different x values are needed."""
        xs, ys = np.array(points, dtype=float).T
        slope, intercept = np.polyfit(xs, ys, 1)
        distance = np.abs(intercept + slope * xs - ys).max()
        scale = np.abs(ys).max() or 1
        return cls(float(slope), float(intercept), float(distance / scale))

    def at(self, x_value: float) -> float:
        """Return the value of the line at ``x_value``."""
        return self.intercept + self.slope * x_value
