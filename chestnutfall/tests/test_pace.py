"""How fast a queue moves, judged soon after it began to.

Callers are refused who could be served: a leader that began half a second ago has few grants in
its window, takes its queue for a slow one, and gives up on whoever stands far back in it.
"""

from __future__ import annotations

import unittest

from ..placement.pace import LEAST_LATE_PART, LEAST_PART, WINDOW_MS, Pace


class PaceTest(unittest.TestCase):
    def _granted(self, per_s: int, for_ms: int) -> Pace:
        pace = Pace()
        for at in range(per_s * for_ms // 1000):
            pace.note("s", True, at * 1000 // per_s)
        return pace

    def test_a_queue_that_just_began_to_move_is_judged_by_its_speed(self) -> None:
        pace = self._granted(400, 500)
        self.assertAlmostEqual(pace.step_ms("s", 1, 500), 2.5, delta=0.1)

    def test_a_steady_queue_is_judged_by_the_whole_window(self) -> None:
        pace = self._granted(100, 3 * WINDOW_MS)
        self.assertAlmostEqual(pace.step_ms("s", 1, 3 * WINDOW_MS), 10, delta=0.5)

    def test_a_queue_that_did_not_move_is_not_hopeless(self) -> None:
        self.assertEqual(Pace().step_ms("s", 300, 0), 1000 / (300 * LEAST_PART))

    def test_what_others_are_served_does_not_make_late_requests_hopeful(self) -> None:
        # Half of the engines are gone. Whoever can be in time takes all that is left, and the
        # others wait until their callers give up, with nothing to show for it.
        pace = self._granted(100, 3 * WINDOW_MS)
        late_ms = pace.late_step_ms("s", 100, 3 * WINDOW_MS)
        self.assertAlmostEqual(late_ms, 1000 / (100 * LEAST_LATE_PART))
