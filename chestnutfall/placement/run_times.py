"""Times of one answer of an upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunTimes:
    """Times of one answer as the gateway measured them, in ms.

    Attributes
    ----------
    first_ms : float
        From sending the request to the first part of the answer; 0 where there was none.
    lag_ms : float
        How much later than expected the first part came.
    gap_ms : float
        Median time between two events; 0 for answers of one part.
    """

    first_ms: float = 0.0
    lag_ms: float = 0.0
    gap_ms: float = 0.0


NO_TIMES = RunTimes()
"""Times of a request that got no answer."""
