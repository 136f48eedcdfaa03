"""Speed of a stand-in engine that shares its host with other work."""

from __future__ import annotations

import random
from dataclasses import dataclass

SPELL_S = 0.5
SPELL_SHARE = 0.15
"""Part of the time in which other work slows the engine down, in spells of `SPELL_S`."""
SPELL_SLOWDOWN = 2.5


@dataclass(frozen=True, slots=True)
class UnevenSpeed:
    """How many times as long the work of one engine takes.

    Attributes
    ----------
    name : str
        Decides when the spells of other work are.
    usual : float
        How many times as long its work takes in between, compared with other engines.
    """

    name: str
    usual: float = 1.0

    def slowdown(self, now_s: float) -> float:
        """Return the slowdown by other work at a time."""
        rng = random.Random(f"{self.name}/{int(now_s / SPELL_S)}")
        return SPELL_SLOWDOWN if rng.random() < SPELL_SHARE else 1.0

    def stretched_s(self, work_s: float, now_s: float) -> float:
        """Return how long work takes that takes others `work_s`."""
        return work_s * self.usual * self.slowdown(now_s)

    def load(self, running: int, max_running: int, now_s: float) -> str:
        """Return the value of the load header."""
        return f"{running},0,{max_running},{round(100 * self.slowdown(now_s))}"
