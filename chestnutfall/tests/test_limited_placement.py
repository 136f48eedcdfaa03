"""Placement on engines that announce limits: which requests go elsewhere, wait or are refused."""

from __future__ import annotations

from .fakes.placement_case import STEP_MS, PlacementCase


class LimitedPlacementTest(PlacementCase):
    # Guards against requests that wait for a limited engine while another could serve them in time.
    def test_a_popular_adapter_of_a_limited_engine_is_loaded_elsewhere(self) -> None:
        self._engine("e1", "a1")
        self._engine("e2")
        self._limit("e1", 1.0)
        for at in range(60):
            self._submit(f"t{at}", "a1")
            self._pass_ms(48)
        self._pass_ms(1_000)
        self.assertEqual([one.instance for one in self.loads], ["e2"])
        self.assertEqual(len(self.granted), 60)
        self.assertLessEqual(list(self.granted.values()).count("e1"), 5)

    # Guards against requests beyond a limit that were assigned before the engine announced it.
    def test_calls_that_wait_for_a_load_keep_a_limit_that_comes_meanwhile(self) -> None:
        self._engine("e1")
        self._engine("e2", "a1")
        self._limit("e2", 1.0)
        for at in range(12):
            self._submit(f"t{at}", "a2")
        self._pass_ms(STEP_MS)
        loading = self.loads[0].instance
        self._limit(loading, 2.0)
        self._pass_ms(1_000)
        self.assertLessEqual(list(self.granted.values()).count(loading), 3)

    # Guards against waits in vain: the grant rate before a limit is too high for the time after it.
    def test_when_all_are_limited_requests_beyond_the_limits_are_refused_at_once(self) -> None:
        self._engine("e1", "a1")
        for at in range(200):
            self._submit(f"before{at}", "a1")
            self._pass_ms(STEP_MS)
        self.assertEqual(len(self.granted), 200)
        self._limit("e1", 2.0)
        for at in range(40):
            self._submit(f"after{at}", "a1", wait_ms=2_000)
        self._pass_ms(STEP_MS)
        self.assertGreaterEqual(len(self.rejected), 35)
        self.assertEqual({one.reason for one in self.rejected.values()}, {"limited"})

    # Guards against refused callers that all retry at the same moment, or too early.
    def test_each_refused_request_gets_its_own_retry_time(self) -> None:
        self._engine("e1", "a1")
        self._limit("e1", 5.0)
        for at in range(40):
            self._submit(f"t{at}", "a1", wait_ms=1_000)
        self._pass_ms(STEP_MS)
        waits_ms = sorted(one.retry_after_ms for one in self.rejected.values())
        self.assertEqual(len(set(waits_ms)), len(waits_ms))
        self.assertGreaterEqual(waits_ms[0], 200)
        self.assertLessEqual(waits_ms[-1], 10_000)

    def test_a_limit_above_the_work_changes_nothing(self) -> None:
        self._engine("e1", "a1")
        self._limit("e1", 500.0)
        for at in range(100):
            self._submit(f"t{at}", "a1")
            self._pass_ms(STEP_MS)
        self._pass_ms(STEP_MS)
        self.assertEqual(len(self.granted), 100)
