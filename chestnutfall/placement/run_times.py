"""How fast an upstream answered one request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunTimes:
    """Times of one run as the gateway saw them, ms.

    Attributes
    ----------
    first_ms : float
        From sending to the first part of the answer; 0 where there was none.
    lag_ms : float
        How much later than expected the first part came.
    gap_ms : float
        Usual time between two events, as their median; 0 for answers of one part.
    """

    first_ms: float = 0.0
    lag_ms: float = 0.0
    gap_ms: float = 0.0


NO_TIMES = RunTimes()
"""Of a request that got no answer."""
