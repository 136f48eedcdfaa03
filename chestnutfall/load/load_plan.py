"""What load to offer."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from .arrival import Arrival

CLASSES = ("urgent", "normal", "overnight")


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """An open-loop load: requests come when they are due, whether others have ended or not.

    Attributes
    ----------
    per_s, seconds : float
        Rate of a Poisson process, and its length.
    adapters : int
        Number of adapters; popularity follows Zipf's law with exponent `zipf`.
    shift_s : float
        Popularity is dealt out anew this often; 0 for never.
    mix : tuple of float
        Shares of urgent, normal and overnight requests.
    cancels : float
        Part of the requests whose caller leaves early.
    """

    per_s: float
    seconds: float
    adapters: int
    zipf: float = 1.1
    shift_s: float = 0.0
    mix: tuple[float, float, float] = (0.2, 0.5, 0.3)
    cancels: float = 0.0
    seed: int = 1


def arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the requests of `plan` in the order they are due."""
    rng = np.random.default_rng(plan.seed)
    weights = np.arange(1, plan.adapters + 1, dtype=float) ** -plan.zipf
    weights /= weights.sum()
    order = rng.permutation(plan.adapters)
    next_shift_ms = plan.shift_s * 1000 or float("inf")
    at_ms = 0.0
    while True:
        at_ms += rng.exponential(1000 / plan.per_s)
        if at_ms >= plan.seconds * 1000:
            return
        if at_ms >= next_shift_ms:
            order = rng.permutation(plan.adapters)
            next_shift_ms += plan.shift_s * 1000
        adapter = int(order[rng.choice(plan.adapters, p=weights)])
        priority = CLASSES[rng.choice(len(CLASSES), p=np.array(plan.mix) / sum(plan.mix))]
        leaves = rng.random() < plan.cancels
        yield Arrival(at_ms, adapter, priority, float(rng.uniform(10, 500)) if leaves else None)
