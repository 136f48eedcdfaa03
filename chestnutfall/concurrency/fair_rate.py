"""Rate that a flow gets beside others in fair queueing."""

from __future__ import annotations

from collections.abc import Iterable


def fair_rate(capacity: float, others: Iterable[float]) -> float:
    """Return the max-min fair rate of a flow that always has calls waiting.

    Parameters
    ----------
    capacity : float
        Rate at which all flows together are served.
    others : iterable of float
        Rates that the other flows ask for.
    """
    demands = sorted(others)
    left, flows = capacity, len(demands) + 1
    for demand in demands:
        share = left / flows
        if demand >= share:
            return share
        left -= demand
        flows -= 1
    return left
