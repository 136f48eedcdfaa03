"""How fast a service's upstreams take calls."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pace:
    """When upstreams take the next calls.

    Attributes
    ----------
    first_ms : float
        Time until the next call.
    per_ms : float
        Calls per ms after it; infinite without any limit.
    """

    first_ms: float
    per_ms: float
