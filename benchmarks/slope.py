"""A straight line through measured points."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Slope:
    """Cost per unit, from a least-squares line.

    Attributes
    ----------
    per_unit, fixed : float
        Slope and intercept.
    residual : float
        Largest distance of a point from the line, as a part of the largest point.
    """

    what: str
    unit: str
    per_unit: float
    fixed: float
    residual: float
    points: tuple[tuple[int, float], ...]

    def row(self) -> str:
        """One row of a Markdown table."""
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
    off = np.abs(values - (per_unit * sizes + fixed)).max()
    residual = float(off / max(abs(values).max(), 1e-12))
    return Slope(what, unit, float(per_unit), float(fixed), residual, tuple(points))
