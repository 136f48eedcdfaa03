"""Loads of base models from the weight store."""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..placement import EngineReport
from ..placement.engine import Engine
from ..placement.model_loads import ModelLoads
from ..placement.placer import Placer
from ..routes import EngineSpec, ModelSpec

PER_S = 4.9
WINDOW_MS = 5_000
MOST = PER_S * WINDOW_MS / 1000 * 1.1 + 3
"""Loads that the weight store bears within a window."""
ENGINES = 100
SPEC = EngineSpec(16, 1_000_000, (ModelSpec("base", 50),), 60, 4, PER_S)


def _empty_engines() -> list[Engine]:
    """Return engines that hold nothing, as after a power loss of all of them."""
    placer = Placer(ManualClock())
    for at in range(ENGINES):
        placer.engine_up(f"e{at}", "s", "dc", SPEC)
        placer.engine_reported(f"e{at}", EngineReport({}, {}, {}, 0))
    return list(placer.engines.values())


class ModelLoadsTest(unittest.TestCase):
    # Guards against a weight store that gets the loads of two leaders at once: each began with as
    # many as are allowed in some seconds.
    def test_leaders_in_turn_keep_the_rate(self) -> None:
        started: list[int] = []
        engines = _empty_engines()
        for leader in range(4):
            loads = ModelLoads()
            for now_ms in range(leader * 2_000, (leader + 1) * 2_000, 10):
                started += [now_ms for _ in loads.decide(engines, now_ms)]
        for begin_ms in started:
            window = range(begin_ms, begin_ms + WINDOW_MS)
            self.assertLessEqual(sum(one in window for one in started), MOST)

    # Guards against engines that stay empty longer than the store needs, as rounds are rare.
    def test_rounds_that_are_rare_keep_up_with_the_rate(self) -> None:
        loads, engines = ModelLoads(), _empty_engines()
        started = sum(len(list(loads.decide(engines, now_ms))) for now_ms in range(0, 10_000, 100))
        self.assertGreaterEqual(started, 0.95 * PER_S * 10)
