"""A straight line through measured points."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Slope:
    """Cost per unit, as the slope of a least-squares line through measured points.

    Attributes
    ----------
    what, unit : str
        What was measured, and the unit of its values.
    per_unit, fixed : float
        Slope and intercept.
    residual : float
        Largest distance of a point from the line, as a fraction of the largest value.
    points : tuple of (int, float)
        Size and value of each measurement.
    """

    what: str
    unit: str
    per_unit: float
    fixed: float
    residual: float
    points: tuple[tuple[int, float], ...]

    def row(self) -> str:
        """Return a row of a Markdown table."""
        points = ", ".join(f"{size:,}: {value:,.4g}" for size, value in self.points)
        return (
            f"| {self.what} | {self.per_unit:,.4g} {self.unit} | {self.fixed:,.4g} "
            f"| {self.residual:.1%} | {points} |"
        )


def fit(what: str, unit: str, points: Sequence[tuple[int, float]]) -> Slope:
    """Fit a line through (size, value) points."""
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points])
    per_unit, fixed = np.polyfit(sizes, values, 1)
    max_distance = np.abs(values - (per_unit * sizes + fixed)).max()
    # Values that are all zero must not divide by zero.
    residual = float(max_distance / max(abs(values).max(), 1e-12))
    return Slope(what, unit, float(per_unit), float(fixed), residual, tuple(points))
