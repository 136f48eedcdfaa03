"""The random plan of faults of a run, from its seed."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

FAULT_KINDS = (
    "kill_controller",
    "pause_controller",
    "wipe_controller",
    "restart_controller",
    "kill_gateway",
    "pause_gateway",
    "restart_gateway",
    "reload_gateway",
    "delay_upstream",
    "reset_upstream",
    "silence_answers",
    "silence_upstream",
    "reset_connections",
    "kill_all_controllers",
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One planned fault.

    Attributes
    ----------
    kind : str
        One of `FAULT_KINDS`.
    at_s, for_s : float
        Begin, from the start of the run, and duration. Faults without a duration ignore it.
    target : int
        Number of the affected controller, gateway or relay, modulo the number of these.
    """

    kind: str
    at_s: float
    for_s: float
    target: int


def plan_faults(rng: random.Random, length_s: float) -> Iterator[Fault]:
    """Yield faults in order of `at_s` until `length_s`; about a third may overlap the next one."""
    at_s = 0.5
    while at_s < length_s:
        for_s = rng.uniform(0.3, 2.0)
        yield Fault(rng.choice(FAULT_KINDS), at_s, for_s, rng.randrange(16))
        at_s += rng.uniform(0.2, 1.2) if rng.random() < 0.33 else for_s + rng.uniform(0.5, 2.5)
