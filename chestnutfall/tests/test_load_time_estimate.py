"""Estimates of load times while a third of all requests wait for a load.

A request is sent at the expected end of its adapter's load. If the estimate is too long, all such
requests wait in vain; if it is too short, the engine refuses, and the request costs a retry and a
further wait. The load is steady: engines of one service that load from one store.
"""

from __future__ import annotations

import random
import unittest

from ..placement.copy_speed import RETRY_AFTER_MS
from ..placement.load_time_estimate import LoadTimeEstimate
from ..placement.store_times import BUSY_RETENTION_MS, USUAL_RETENTION_MS, StoreTimes

LOADS_PER_S = 4
"""Of each engine."""


class _Store:
    """Engines that load one adapter after another from one store."""

    def __init__(self, engines: int, guess_ms: float = 290.0) -> None:
        self._rng = random.Random(3)
        store = StoreTimes()
        self.estimates = [LoadTimeEstimate(f"e{at}", guess_ms, store) for at in range(engines)]
        self.now_ms = 0
        self.load_ms = 250.0
        self.early = self.loads = 0
        self.waste_ms = 0.0

    def play(self, ms: int) -> None:
        """Run loads at random moments; each one's first request is sent at its expected end."""
        self.early = self.loads = 0
        self.waste_ms = 0.0
        until_ms = self.now_ms + ms
        while self.now_ms < until_ms:
            self.now_ms += max(int(1000 / LOADS_PER_S / len(self.estimates)), 1)
            estimate = self._rng.choice(self.estimates)
            expected_ms = estimate.expected_ms(from_copy=False)
            self.loads += 1
            if expected_ms < self.load_ms:
                self.early += 1
                estimate.note_too_early(expected_ms, self.now_ms)
            else:
                self.waste_ms += expected_ms - self.load_ms
                estimate.note_ready(self.now_ms)

    def longest_ms(self) -> float:
        """Return the longest load time that any engine expects."""
        return max(one.expected_ms(from_copy=False) for one in self.estimates)


class LoadTimeEstimateTest(unittest.TestCase):
    def test_few_requests_come_too_early_and_few_ms_are_wasted(self) -> None:
        for engines in (1, 6, 31, 200):
            with self.subTest(engines=engines):
                store = _Store(engines)
                store.play(5_000)
                store.play(20_000)
                self.assertLessEqual(store.early / store.loads, 0.05)
                self.assertLess(store.waste_ms / store.loads, 10)

    def test_a_guess_that_is_too_long_is_corrected_within_seconds(self) -> None:
        store = _Store(31)
        store.play(3_000)
        self.assertLess(store.estimates[0].expected_ms(from_copy=False), 265)

    def test_slow_loads_from_a_busy_store_are_forgotten_within_seconds(self) -> None:
        # Many loads at once take twice as long. Seconds later the estimate is back to normal.
        store = _Store(31)
        store.load_ms = 500.0
        store.play(4_000)
        self.assertGreater(store.estimates[0].expected_ms(from_copy=False), 490)
        store.load_ms = 250.0
        store.play(USUAL_RETENTION_MS + 8_000)
        self.assertLess(store.longest_ms(), 290)

    def test_many_loads_at_once_are_waited_for_only_while_they_last(self) -> None:
        # All hosts restart after a power failure. In the first tenth of a second a hundred loads
        # begin together and take half as long again as one alone; loads a second later do not.
        store = _Store(31)
        store.play(5_000)
        for estimate in store.estimates[:8]:
            estimate.note_too_early(340.0, store.now_ms)
        self.assertGreater(store.estimates[20].expected_ms(from_copy=False), 340)
        store.play(BUSY_RETENTION_MS + 200)
        self.assertLess(store.longest_ms(), 270)

    def test_a_busy_second_is_not_kept_for_the_next_leader(self) -> None:
        # All hosts return while the store is busy. If the load time of that second were
        # committed, the next leader would wait that long for each load of its first seconds.
        store = _Store(31)
        store.play(5_000)
        usual_ms = max(one.usual_ms for one in store.estimates)
        for estimate in store.estimates[:8]:
            estimate.note_too_early(340.0, store.now_ms)
        self.assertGreater(store.longest_ms(), 1.2 * usual_ms)
        self.assertLess(max(one.usual_ms for one in store.estimates), 1.02 * usual_ms)

    def test_one_engine_that_is_late_by_itself_delays_no_other(self) -> None:
        store = _Store(31)
        store.play(5_000)
        store.estimates[0].note_too_early(370.0, store.now_ms)
        self.assertGreater(store.estimates[0].expected_ms(from_copy=False), 370)
        self.assertLess(store.estimates[1].expected_ms(from_copy=False), 270)


class CopySpeedTest(unittest.TestCase):
    """Adapters that return to an engine which held them recently."""

    def setUp(self) -> None:
        self.estimate = LoadTimeEstimate("e", 50.0, StoreTimes())
        self.now_ms = 0

    def _early(self, loads: int, copy_ms: float) -> int:
        """Return how many first requests are too early, over loads from copies of `copy_ms`."""
        early = 0
        for _ in range(loads):
            self.now_ms += 50
            if not self.estimate.copies_are_fast:
                self.estimate.note_ready(self.now_ms)
                continue
            in_time = self.estimate.expected_ms(from_copy=True) >= copy_ms
            early += not in_time
            self.estimate.note_copy_load(in_time, self.now_ms)
        return early

    # Guards against engines without fast copies, where each adapter that returns costs a retry
    # and callers are refused while engines are idle.
    def test_engines_whose_copies_are_slow_are_detected(self) -> None:
        self.assertLessEqual(self._early(1_000, copy_ms=50.0), 50)

    def test_engines_whose_copies_are_fast_stay_trusted(self) -> None:
        self.assertEqual(self._early(1_000, copy_ms=5.0), 0)
        self.assertTrue(self.estimate.copies_are_fast)

    def test_some_missing_copies_do_not_make_copies_slow(self) -> None:
        rng = random.Random(5)
        for _ in range(2_000):
            self._early(1, copy_ms=50.0 if rng.random() < 0.33 else 5.0)
            self.assertTrue(self.estimate.copies_are_fast)

    def test_copies_are_tried_again_later(self) -> None:
        self._early(20, copy_ms=50.0)
        self.assertFalse(self.estimate.copies_are_fast)
        self.now_ms += RETRY_AFTER_MS
        self.estimate.note_ready(self.now_ms + 1)
        self.assertTrue(self.estimate.copies_are_fast)
        self.assertEqual(self._early(100, copy_ms=5.0), 0)
