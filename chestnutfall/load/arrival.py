"""One planned request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Arrival:
    """When a request is due, and what it asks for.

    Attributes
    ----------
    at_ms : float
        Due time since the start.
    adapter : int
        Number of the adapter.
    priority : str
        Priority class.
    cancel_ms : float or None
        The caller leaves this long after its start.
    """

    at_ms: float
    adapter: int
    priority: str
    cancel_ms: float | None
