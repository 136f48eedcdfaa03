"""Prompts that are read between the tokens of other callers' streams.

Callers see their drafts stop in the middle for half a second and more: requests come in bunches,
an engine reads their prompts together, and every stream on it pauses until all are read. The load
here is such a bunch before one engine; what must hold is that no window of the tightest pause
objective is full of reading, that nobody starves behind short prompts, and that the pace of an
engine nobody has seen before is learned, whatever some odd answers say.
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
from ..placement.read_pace import ReadPace
from ..placement.read_schedule import ReadSchedule
from ..placement.read_window import ReadWindow
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


class PacingTest(unittest.TestCase):
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

    def test_a_bunch_of_prompts_is_read_one_window_after_the_other(self) -> None:
        tokens = 1_000
        for number in range(20):
            self.placer.submit(_request(f"t{number}", tokens))
        self._play(2_000)
        self.assertGreater(len(self.sent), 15)
        reads: list[tuple[float, float]] = []
        for at_ms, _ in self.sent:
            begin_ms = max(at_ms, reads[-1][1]) if reads else at_ms
            reads.append((begin_ms, begin_ms + tokens * MS_PER_TOKEN))
        for _, end_ms in reads:
            start_ms = end_ms - PAUSE_MS
            read_ms = sum(max(min(e, end_ms) - max(b, start_ms), 0) for b, e in reads)
            self.assertLessEqual(read_ms, PAUSE_MS - EngineKind().gap_ms)

    def test_without_a_pause_objective_all_are_sent_at_once(self) -> None:
        for number in range(20):
            self.placer.submit(_request(f"t{number}", 1_000, pause_ms=0))
        self._play(STEP_MS)
        self.assertEqual(len(self.sent), 20)

    def test_a_long_prompt_does_not_starve_behind_short_ones(self) -> None:
        # What becomes free of a window is not enough for the long one as long as those that came
        # later and need less take it; it would be read when no more of them may queue, a tenth of
        # a second later.
        self.placer.submit(_request("first", 2_000))
        self._play(STEP_MS)
        self.placer.submit(_request("long", 4_000))
        for number in range(100):
            self.placer.submit(_request(f"short{number}", 400))
            self._play(self.clock._now_ms + 2 * STEP_MS)
        at_ms = {ticket: at for at, ticket in self.sent}
        self.assertLess(at_ms["long"], 250)

    def test_a_prompt_longer_than_any_window_is_read_when_nothing_else_is(self) -> None:
        self.placer.submit(_request("huge", 50_000))
        self._play(STEP_MS)
        self.assertEqual([ticket for _, ticket in self.sent], ["huge"])

    def test_who_left_before_its_turn_leaves_its_reading_to_others(self) -> None:
        for number in range(6):
            self.placer.submit(_request(f"t{number}", 2_000))
        self._play(STEP_MS)
        sent = {ticket for _, ticket in self.sent}
        for number in range(6):
            if f"t{number}" not in sent:
                self.placer.withdraw(f"t{number}")
        tickets = (f"t{number}" for number in range(6))
        self.assertEqual(self.placer.engines["e1"].reading.reserved_ms(tickets), 0.0)

    def test_prompts_that_wait_for_loads_do_not_take_the_reading_of_others(self) -> None:
        # Orders to the engine hang, and requests wait for their adapters. Requests whose adapter
        # is there would be refused meanwhile, although the engine has nothing to do.
        for number in range(6):
            load = AdapterName(MODEL, f"other{number % 3}")
            self.placer.submit(replace(_request(f"loading{number}", 3_000), adapter=load))
        self._play(STEP_MS)
        self.placer.submit(_request("ready", 1_000))
        self._play(2 * STEP_MS)
        self.assertEqual([ticket for _, ticket in self.sent], ["ready"])

    def test_answers_of_a_slow_engine_widen_its_gaps(self) -> None:
        engine = self.placer.engines["e1"]
        before_ms = engine.reading.ms_per_token
        for number in range(40):
            self.placer.submit(_request(f"t{number}", 1_000))
            self._play(self.clock._now_ms + 400)
            self.placer.release(f"t{number}", RunOutcome.DONE, RunTimes(600.0, 0.0, 300.0))
        self.assertGreater(engine.reading.ms_per_token, 4 * before_ms)


class PaceTest(unittest.TestCase):
    @given(st.floats(0.01, 0.2), st.floats(10, 60), st.integers(0, 9))
    def test_the_pace_of_any_engine_is_learned(
        self, ms_per_token: float, first_ms: float, odd: int
    ) -> None:
        # One answer in ten is odd: the prompt was still kept, or a packet was lost.
        pace = ReadPace(EngineKind())
        for number in range(800):
            tokens = 200 + 613 * number % 2_500
            took_ms = first_ms + tokens * ms_per_token
            if number % 10 == odd:
                took_ms = first_ms if number % 20 == odd else took_ms + 1_000
            pace.note(tokens, took_ms)
        self.assertLess(abs(pace.ms_per_token / ms_per_token - 1), 0.2)

    @given(st.lists(st.tuples(st.floats(0, 1e6), st.floats(0.1, 1e7)), max_size=50))
    def test_no_answer_makes_it_useless(self, answers: list[tuple[float, float]]) -> None:
        pace = ReadPace(EngineKind())
        for tokens, took_ms in answers:
            pace.note(tokens, took_ms)
        self.assertGreater(pace.ms_per_token, 0)
        self.assertGreater(pace.first_ms, 0)


class ScheduleTest(unittest.TestCase):
    def test_one_more_prompt_waits_for_what_is_over_the_budget(self) -> None:
        schedule = ReadSchedule(ReadPace(EngineKind()))
        window = ReadWindow(300, 200)
        self.assertEqual(schedule.wait_ms(window, 0), 0)
        for number in range(3):
            schedule.reserve(f"t{number}", 100 / MS_PER_TOKEN)
            schedule.send(f"t{number}", 0)
        self.assertAlmostEqual(schedule.wait_ms(window, 0), 300)
        schedule.reserve("t3", 100 / MS_PER_TOKEN)
        self.assertFalse(schedule.fits("t3", window, 300))
        self.assertTrue(schedule.fits("t3", window, 400))
