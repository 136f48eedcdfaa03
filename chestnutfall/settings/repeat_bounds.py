"""The bound on repeats that all gateways keep together."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RepeatBounds:
    """Repeats allowed over all gateways, for each service: a part of the requests plus `slack`.

    Attributes
    ----------
    ratio : float
        Repeats for each request of the window.
    slack : float
        Repeats in a window beyond that.
    window_ms : int
        Length of the window; the bound holds wherever it is laid.
    """

    ratio: float
    slack: float
    window_ms: int
