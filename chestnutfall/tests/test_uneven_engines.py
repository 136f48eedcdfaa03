"""Loads on engines that differ in speed, played against placement.

Each test fails if the engines of a service are held equal. Shares are of requests whose first event
and pauses were both in time; what an engine gets is given against an equal share.
"""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from dataclasses import replace

from .fakes.uneven_engines import DEFERRED, LONG, SHORT, Noise, UnevenEngines, UnevenLoad

WELL_SERVED = 0.98
ADAPTERS = 8
"""Every engine has slots for all of them, so that only speeds matter."""
UNCACHED_LONG = replace(LONG, shared_tokens=0, own_tokens=9_190)


def _load(
    speeds: Sequence[float], long_factor: float, load: float = 1.0, seconds: int = 12
) -> UnevenLoad:
    """Return a load of short, deferred and long prompts, as many for each engine as usual."""
    part = load * len(speeds) / 45
    long = replace(UNCACHED_LONG, per_s=LONG.per_s * part * long_factor)
    short = (replace(kind, per_s=kind.per_s * part) for kind in (SHORT, DEFERRED))
    return UnevenLoad(
        tuple(speeds), Noise(), (*short, long), seconds, ADAPTERS, counted_from_ms=2_000
    )


class UnevenEnginesTest(unittest.TestCase):
    def _assert_well_served(self, played: UnevenEngines) -> None:
        for kind in ("short", "deferred", "long"):
            self.assertGreaterEqual(played.share(kind), WELL_SERVED, (kind, played.outcomes))

    def test_one_engine_of_four_at_a_quarter_of_the_speed(self) -> None:
        played = UnevenEngines(_load((4.0, 1.0, 1.0, 1.0), 1, 1.6)).play()
        self._assert_well_served(played)
        slow = 4 * played.given_share("e0", 2)
        self.assertGreater(slow, 0.1)
        self.assertLess(slow, 0.35)

    def test_a_quarter_at_half_speed_and_spells_of_other_work_everywhere(self) -> None:
        load = _load((2.0,) * 4 + (1.0,) * 12, 3, seconds=8)
        played = UnevenEngines(replace(load, noise=Noise(0.15))).play()
        self._assert_well_served(played)
        slow = sum(played.given_share(f"e{number}", 2) for number in range(4)) * 4
        self.assertGreater(slow, 0.1)
        self.assertLess(slow, 0.6)

    def test_long_and_short_prompts_share_engines_of_which_one_is_half_as_fast(self) -> None:
        load = _load((2.0, 1.0, 1.0, 1.0), 3)
        self._assert_well_served(UnevenEngines(replace(load, seed=2)).play())

    def test_an_engine_that_was_five_times_as_slow_is_used_again_when_it_is_quick(self) -> None:
        slow, quick = (5.0, 1.0, 1.0, 1.0), (1.0,) * 4
        load = replace(_load(quick, 1, seconds=30), changes={2_000: slow, 10_000: quick})
        played = UnevenEngines(replace(load, counted_from_ms=0)).play()
        self._assert_well_served(played)
        self.assertLess(4 * played.given_share("e0", 4, 10), 1 / 5)
        self.assertGreater(4 * played.given_share("e0", 14, 22), 0.5)
        self.assertGreater(4 * played.given_share("e0", 22, 30), 0.8)

    # Guards against learned speeds that scatter, so that some of equal engines stand idle.
    def test_equal_engines_get_equal_shares(self) -> None:
        load = _load((1.0,) * 4, 3)
        played = UnevenEngines(load).play()
        self._assert_well_served(played)
        for number in range(4):
            self.assertGreater(4 * played.given_share(f"e{number}", 2), 0.6)
        self.assertEqual([one.slowness for one in played.placer.engines.values()], [1] * 4)
