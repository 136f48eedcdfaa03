"""Rate at which a queue moves, estimated soon after it begins to.

A leader that began half a second ago has few placements in its window. If it takes its queue for a
slow one, it refuses callers far back in the queue that could be served.
"""

from __future__ import annotations

import unittest

from ..placement.placement_rate import MIN_LATE_SHARE, MIN_SHARE, WINDOW_MS, PlacementRate


class PlacementRateTest(unittest.TestCase):
    def _placed(self, per_s: int, for_ms: int) -> PlacementRate:
        rate = PlacementRate()
        for at in range(per_s * for_ms // 1000):
            rate.note("s", True, at * 1000 // per_s)
        return rate

    def test_a_queue_that_just_began_to_move_is_judged_by_its_speed(self) -> None:
        rate = self._placed(400, 500)
        self.assertAlmostEqual(rate.interval_ms("s", 1, 500), 2.5, delta=0.1)

    def test_a_steady_queue_is_judged_by_the_whole_window(self) -> None:
        rate = self._placed(100, 3 * WINDOW_MS)
        self.assertAlmostEqual(rate.interval_ms("s", 1, 3 * WINDOW_MS), 10, delta=0.5)

    def test_a_queue_that_did_not_move_has_a_least_rate(self) -> None:
        self.assertEqual(PlacementRate().interval_ms("s", 300, 0), 1000 / (300 * MIN_SHARE))

    def test_placements_in_time_do_not_raise_the_rate_of_late_requests(self) -> None:
        # Half of the engines are lost. Requests that can be in time take all remaining places;
        # late ones, if kept, would wait until their callers give up and never be served.
        rate = self._placed(100, 3 * WINDOW_MS)
        late_ms = rate.late_interval_ms("s", 100, 3 * WINDOW_MS)
        self.assertAlmostEqual(late_ms, 1000 / (100 * MIN_LATE_SHARE))
