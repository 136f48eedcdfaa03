"""A request of a load plan."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Arrival:
    """One planned request: when it is due and what it asks for.

    Attributes
    ----------
    at_ms : float
        When the request is due, after the start of the load.
    adapter : int
        Number of the adapter, from 0.
    priority : str
        Priority class: `urgent`, `normal` or `overnight`.
    cancel_ms : float or None
        Time after which the caller closes the connection; None for a caller that waits for the
        whole answer.
    """

    at_ms: float
    adapter: int
    priority: str
    cancel_ms: float | None
