"""Plan of an open-loop load."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from .arrival import Arrival

PRIORITY_CLASSES = ("urgent", "normal", "overnight")


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """An open-loop load: each request is sent when it is due, even if earlier ones have not ended.

    Attributes
    ----------
    per_s, seconds : float
        Requests per second of a Poisson process, and its length in seconds.
    adapters : int
        Number of adapters; popularity follows Zipf's law with exponent `zipf`.
    shift_s : float
        Seconds after which popularity is assigned to adapters anew at random; 0 for never.
    mix : tuple of float
        Shares of urgent, normal and overnight requests.
    cancel_fraction : float
        Fraction of the requests that the caller cancels, 10 to 500 ms after sending them.
    seed : int
        Seed of the random numbers; the same plan yields the same requests.
    """

    per_s: float
    seconds: float
    adapters: int
    zipf: float = 1.1
    shift_s: float = 0.0
    mix: tuple[float, float, float] = (0.2, 0.5, 0.3)
    cancel_fraction: float = 0.0
    seed: int = 1


def arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the requests of `plan` in the order in which they are due."""
    rng = np.random.default_rng(plan.seed)
    weights = np.arange(1, plan.adapters + 1, dtype=float) ** -plan.zipf
    weights /= weights.sum()
    by_popularity = rng.permutation(plan.adapters)
    next_shift_ms = plan.shift_s * 1000 or float("inf")
    at_ms = 0.0
    while True:
        at_ms += rng.exponential(1000 / plan.per_s)
        if at_ms >= plan.seconds * 1000:
            return
        if at_ms >= next_shift_ms:
            by_popularity = rng.permutation(plan.adapters)
            next_shift_ms += plan.shift_s * 1000
        adapter = int(by_popularity[rng.choice(plan.adapters, p=weights)])
        priority = PRIORITY_CLASSES[
            rng.choice(len(PRIORITY_CLASSES), p=np.array(plan.mix) / sum(plan.mix))
        ]
        is_cancelled = rng.random() < plan.cancel_fraction
        yield Arrival(
            at_ms, adapter, priority, float(rng.uniform(10, 500)) if is_cancelled else None
        )
