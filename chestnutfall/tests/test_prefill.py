"""Prefill of new prompts while other callers' streams run on the same engine.

When requests arrive in bunches and an engine processes their prompts together, every stream on it
pauses until all are done, for half a second and more. The tests send such a bunch to one engine and
check that prefill never fills a window of the tightest pause objective, that long prompts don't
starve behind short ones, and that an unknown engine's speed is learned in spite of outliers.
"""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ..clock import ManualClock
from ..placement import AdapterName, EngineReport, Grant, PlaceRequest, RunOutcome
from ..placement.engine_kind import EngineKind
from ..placement.placer import Placer
from ..placement.prefill_schedule import PrefillSchedule
from ..placement.prefill_speed import PrefillSpeed
from ..placement.prefill_window import PrefillWindow
from ..placement.run_times import RunTimes
from ..routes import EngineSpec, ModelSpec

MODEL = "base"
SPEC = EngineSpec(64, 1_000_000, (ModelSpec(MODEL, 50),), 60, 4, 5)
NAME = AdapterName(MODEL, "a1")
PAUSE_MS = 300
STEP_MS = 4
MS_PER_TOKEN = EngineKind().ms_per_token


def _request(ticket: str, tokens: int, pause_ms: int = PAUSE_MS) -> PlaceRequest:
    return PlaceRequest(
        ticket, "s", NAME, tokens, 100, (), 1, 1_000, 4_000, "dc", (), pause_ms
    )  # fmt: skip


class PrefillPacingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.placer = Placer(self.clock)
        self.placer.engine_up("e1", "s", "dc", SPEC)
        self.placer.engine_reported("e1", EngineReport({MODEL: 1}, {NAME: 1}, {}, 0))
        self.sent: list[tuple[int, str]] = []

    def _play(self, until_ms: int) -> None:
        while self.clock._now_ms < until_ms:
            for one in self.placer.decide():
                if isinstance(one, Grant):
                    self.sent.append((self.clock._now_ms, one.ticket))
            self.clock._now_ms += STEP_MS

    def test_a_bunch_of_prompts_is_spread_over_windows(self) -> None:
        tokens = 1_000
        for number in range(20):
            self.placer.submit(_request(f"t{number}", tokens))
        self._play(2_000)
        self.assertGreater(len(self.sent), 15)
        prefills: list[tuple[float, float]] = []
        for at_ms, _ in self.sent:
            begin_ms = max(at_ms, prefills[-1][1]) if prefills else at_ms
            prefills.append((begin_ms, begin_ms + tokens * MS_PER_TOKEN))
        for _, end_ms in prefills:
            start_ms = end_ms - PAUSE_MS
            prefill_ms = sum(max(min(e, end_ms) - max(b, start_ms), 0) for b, e in prefills)
            self.assertLessEqual(prefill_ms, PAUSE_MS - EngineKind().gap_ms)

    def test_without_a_pause_objective_all_are_sent_at_once(self) -> None:
        for number in range(20):
            self.placer.submit(_request(f"t{number}", 1_000, pause_ms=0))
        self._play(STEP_MS)
        self.assertEqual(len(self.sent), 20)

    def test_a_long_prompt_does_not_starve_behind_short_ones(self) -> None:
        # The budget that becomes free is too small for the long prompt as long as shorter, later
        # ones use it up; the long one would be sent only when no more of them may queue, a tenth
        # of a second later.
        self.placer.submit(_request("first", 2_000))
        self._play(STEP_MS)
        self.placer.submit(_request("long", 4_000))
        for number in range(100):
            self.placer.submit(_request(f"short{number}", 400))
            self._play(self.clock._now_ms + 2 * STEP_MS)
        at_ms = {ticket: at for at, ticket in self.sent}
        self.assertLess(at_ms["long"], 250)

    def test_a_prompt_longer_than_any_window_is_sent_when_nothing_else_is(self) -> None:
        self.placer.submit(_request("huge", 50_000))
        self._play(STEP_MS)
        self.assertEqual([ticket for _, ticket in self.sent], ["huge"])

    def test_a_withdrawn_prompt_frees_its_reserved_prefill(self) -> None:
        for number in range(6):
            self.placer.submit(_request(f"t{number}", 2_000))
        self._play(STEP_MS)
        sent = {ticket for _, ticket in self.sent}
        for number in range(6):
            if f"t{number}" not in sent:
                self.placer.withdraw(f"t{number}")
        tickets = (f"t{number}" for number in range(6))
        self.assertEqual(self.placer.engines["e1"].prefill.reserved_ms(tickets), 0.0)

    def test_prompts_that_wait_for_loads_do_not_block_others(self) -> None:
        # Orders to the engine hang, and requests wait for their adapters. If these counted,
        # requests whose adapter is loaded would be refused although the engine is idle.
        for number in range(6):
            load = AdapterName(MODEL, f"other{number % 3}")
            self.placer.submit(replace(_request(f"loading{number}", 3_000), adapter=load))
        self._play(STEP_MS)
        self.placer.submit(_request("ready", 1_000))
        self._play(2 * STEP_MS)
        self.assertEqual([ticket for _, ticket in self.sent], ["ready"])

    def test_answers_of_a_slow_engine_raise_its_prefill_time(self) -> None:
        engine = self.placer.engines["e1"]
        before_ms = engine.prefill.ms_per_token
        for number in range(40):
            self.placer.submit(_request(f"t{number}", 1_000))
            self._play(self.clock._now_ms + 400)
            self.placer.release(f"t{number}", RunOutcome.DONE, RunTimes(600.0, 0.0, 300.0))
        self.assertGreater(engine.prefill.ms_per_token, 4 * before_ms)


class PrefillSpeedTest(unittest.TestCase):
    @given(st.floats(0.01, 0.2), st.floats(10, 60), st.integers(0, 9))
    def test_the_speed_of_any_engine_is_learned(
        self, ms_per_token: float, first_ms: float, outlier: int
    ) -> None:
        # One answer in ten is an outlier: the prompt was cached, or a packet was lost.
        speed = PrefillSpeed(EngineKind())
        for number in range(800):
            tokens = 200 + 613 * number % 2_500
            took_ms = first_ms + tokens * ms_per_token
            if number % 10 == outlier:
                took_ms = first_ms if number % 20 == outlier else took_ms + 1_000
            speed.note(tokens, took_ms)
        self.assertLess(abs(speed.ms_per_token / ms_per_token - 1), 0.2)

    @given(st.lists(st.tuples(st.floats(0, 1e6), st.floats(0.1, 1e7)), max_size=50))
    def test_figures_stay_positive_after_any_answers(
        self, answers: list[tuple[float, float]]
    ) -> None:
        speed = PrefillSpeed(EngineKind())
        for tokens, took_ms in answers:
            speed.note(tokens, took_ms)
        self.assertGreater(speed.ms_per_token, 0)
        self.assertGreater(speed.first_ms, 0)


class PrefillScheduleTest(unittest.TestCase):
    def test_one_more_prompt_waits_for_what_exceeds_the_budget(self) -> None:
        schedule = PrefillSchedule(PrefillSpeed(EngineKind()))
        window = PrefillWindow(300, 200)
        self.assertEqual(schedule.wait_ms(window, 0), 0)
        for number in range(3):
            schedule.reserve(f"t{number}", 100 / MS_PER_TOKEN)
            schedule.send(f"t{number}", 0)
        self.assertAlmostEqual(schedule.wait_ms(window, 0), 300)
        schedule.reserve("t3", 100 / MS_PER_TOKEN)
        self.assertFalse(schedule.fits("t3", window, 300))
        self.assertTrue(schedule.fits("t3", window, 400))
