"""Limit on repeated sends, over all gateways."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RepeatBounds:
    """Limit on the repeats in any window, for each service: `ratio * requests + slack`.

    Attributes
    ----------
    ratio : float
        Allowed repeats for each request in the window.
    slack : float
        Further repeats that are allowed in a window.
    window_ms : int
        Length of the window; the limit holds for a window that begins at any time.
    """

    ratio: float
    slack: float
    window_ms: int
