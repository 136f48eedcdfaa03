"""Speed of single engines, learned from their answers and from what these report.

If all engines of a service are held equal, a slow one gets as much as the others, and its callers
wait as many times as long. If an engine is taken for slow by mistake, it stands idle while others
are overloaded.
"""

from __future__ import annotations

import math
import random
import unittest
from dataclasses import dataclass, replace
from unittest import mock

import msgspec

from ..clock import ManualClock
from ..coordination.speed_log import LASTS_MS, MAX_LINES, SpeedLog
from ..placement import AdapterName, EngineReport, Grant, PlaceRequest, RunOutcome
from ..placement.engine import Engine
from ..placement.engine_kind import EngineKind
from ..placement.engine_kinds import MAX_RATIOS
from ..placement.engine_speed import EQUAL_WITHIN, TOGETHER_MS, EngineSpeed
from ..placement.pause_budget import PauseBudget
from ..placement.placer import Placer
from ..placement.reported_slowdown import FRESH_MS, MAX_SLOWDOWN, ReportedSlowdown
from ..placement.run_times import RunTimes
from ..routes import EngineSpec, ModelSpec

MODEL = "base"
NAME = AdapterName(MODEL, "a1")
SPEC = EngineSpec(16, 1_000_000, (ModelSpec(MODEL, 50),), 60, 4, 5)
ANSWER_EVERY_MS = 100
GAP_MS = 40.0


class EngineSpeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speed = EngineSpeed()
        self.now_ms = 0

    def _answers(self, *ratios: float) -> None:
        for ratio in ratios:
            self.now_ms += ANSWER_EVERY_MS
            self.speed.note_answer(ratio, self.now_ms)

    def test_an_engine_that_turns_five_times_as_slow_is_known_after_twenty_answers(self) -> None:
        self._answers(*[1.0] * 50, *[5.0] * 20)
        self.assertGreater(self.speed.slowness, 4)
        self.assertIsNotNone(self.speed.slow_since_ms)
        self._answers(*[1.0] * 20)
        self.assertEqual(self.speed.slowness, 1)
        self.assertIsNone(self.speed.slow_since_ms)

    def test_answers_that_scatter_leave_an_engine_equal(self) -> None:
        rng = random.Random(1)
        unusual = 0
        for _ in range(1_000):
            self._answers(rng.lognormvariate(0, 0.4))
            unusual += self.speed.is_slow
            self.assertLess(abs(math.log(self.speed.usual)), math.log(1.5))
        self.assertLess(unusual, 20)

    # Guards against an engine behind a link that loses packets, which is as quick as the others.
    def test_one_misleading_answer_in_four_changes_little(self) -> None:
        rng = random.Random(1)
        for _ in range(1_000):
            misleading = rng.random() < 0.25
            self._answers(12.0 if misleading else rng.lognormvariate(0, 0.2))
            self.assertLess(self.speed.slowness, 1.6)

    def test_an_answer_that_no_speed_explains_is_ignored(self) -> None:
        # After a cut of seconds the answers that it held up arrive.
        self._answers(*[100.0] * 50)
        self.assertEqual(self.speed.usual, 1)

    def test_answers_that_a_cut_held_up_count_once(self) -> None:
        for number in range(12):
            self.speed.note_answer(10.0, 1_000 + number * TOGETHER_MS // 12)
        self.assertLess(self.speed.usual, EQUAL_WITHIN)

    def test_an_idle_engine_is_tried_again_after_some_seconds(self) -> None:
        self._answers(*[5.0] * 30)
        seconds = 0
        while self.speed.slowness > 1 and seconds < 30:
            seconds += 1
            self.speed.decay_if_idle(self.now_ms + 1_000 * seconds)
        self.assertIn(seconds, range(5, 16))

    def test_a_slowdown_and_the_usual_speed_both_count(self) -> None:
        self._answers(*[2.0] * 40)
        self.speed.note_report(2.5, self.now_ms)
        self.assertAlmostEqual(self.speed.slowness, 5, delta=0.3)
        self.assertFalse(self.speed.refresh(self.now_ms + FRESH_MS))
        self.assertAlmostEqual(self.speed.slowness, 2, delta=0.1)

    def test_work_is_slowed_down_for_no_longer_than_a_report_counts(self) -> None:
        self.assertEqual(self.speed.stretched_ms(2_000), 2_000)
        self.speed.note_report(2.5, self.now_ms)
        self.assertAlmostEqual(self.speed.stretched_ms(100), 250)
        self.assertAlmostEqual(self.speed.stretched_ms(2_000), 2_000 + FRESH_MS * 0.6)


class ReportedSlowdownTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reported = ReportedSlowdown()

    def test_it_expires_without_a_further_report(self) -> None:
        self.reported.note(2.5, 1_000)
        self.assertEqual(self.reported.factor(1_000 + FRESH_MS - 1), 2.5)
        self.assertEqual(self.reported.factor(1_000 + FRESH_MS), 1)

    def test_a_report_of_the_usual_speed_ends_it(self) -> None:
        self.reported.note(2.5, 1_000)
        self.reported.note(1.0, 1_100)
        self.assertEqual(self.reported.factor(1_100), 1)

    # Guards against an engine that attracts all requests by a faulty figure.
    def test_a_figure_below_the_usual_time_counts_as_usual(self) -> None:
        for slowdown in (0.0, 0.2, -3.0):
            self.reported.note(slowdown, 1_000)
            self.assertEqual(self.reported.factor(1_000), 1)

    # Guards against an engine that gets no work for ever because its host reports nonsense.
    def test_nonsense_in_each_answer_is_ignored_after_seconds(self) -> None:
        rng = random.Random(1)
        for now_ms in range(1_000, 20_000, 100):
            self.reported.note(rng.choice((0.0, 1.0, 3.0, 20.0, 1e9)), now_ms)
            self.assertLessEqual(self.reported.factor(now_ms), MAX_SLOWDOWN)
            if now_ms > 12_000:
                self.assertEqual(self.reported.factor(now_ms), 1)

    def test_spells_always_count(self) -> None:
        for spell in range(100):
            begin_ms = 1_000 + 3_300 * spell
            for now_ms in range(begin_ms, begin_ms + 500, 100):
                self.reported.note(2.5, now_ms)
                self.assertEqual(self.reported.factor(now_ms), 2.5)


class EngineAnswersTest(unittest.TestCase):
    """Answers of engines of one service, of which one differs."""

    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.placer = Placer(self.clock)
        for number in range(4):
            self._up(f"e{number}")
        self._number = 0

    def _up(self, name: str) -> Engine:
        self.placer.engine_up(name, "s", "dc", SPEC)
        self.placer.engine_reported(name, EngineReport({MODEL: 1}, {NAME: 1}, {}, 0))
        return self.placer.engines[name]

    def _answer(
        self,
        name: str,
        slowness: float,
        tokens: int = 600,
        outcome: RunOutcome = RunOutcome.DONE,
        slowdown: float = 1.0,
    ) -> None:
        """Let an engine answer a request that takes it `slowness` times as long as usual."""
        self._number += 1
        ticket = f"g/{self._number}"
        req = PlaceRequest(ticket, "s", NAME, tokens, 60, (), 1, 5_000, 9_000, "dc", (), 500)
        engine = self.placer.engines[name]
        engine.start(req, ())
        if slowdown != 1:
            self.placer.slowed.note_all({name: slowdown})
        self.placer._places.note_granted(ticket, engine)
        first_ms = slowness * (25.0 + 0.05 * tokens)
        self.clock._now_ms += int(first_ms)
        self.placer.release(ticket, outcome, RunTimes(first_ms, 0.0, slowness * GAP_MS))

    def _second(self, *slowness: float, tokens: tuple[int, ...] = (600,) * 4) -> None:
        """Let each engine answer some requests, and review the speeds."""
        for _ in range(5):
            for number, times in enumerate(slowness):
                self._answer(f"e{number}", times, tokens[number])
        self.placer.kinds.review(self.placer.engines.values(), self.clock.now_ms())

    def _slowness(self) -> list[float]:
        return [one.slowness for one in self.placer.engines.values()]

    def test_a_slow_engine_is_known_and_others_stay_equal(self) -> None:
        for _ in range(20):
            self._second(4.0, 1.0, 1.0, 1.0)
        self.assertAlmostEqual(self._slowness()[0], 4, delta=0.6)
        self.assertEqual(self._slowness()[1:], [1, 1, 1])
        tokens = 1_000.0
        first, second = (self.placer.engines[name] for name in ("e0", "e1"))
        ratio = first.expected_prefill_ms(tokens) / second.expected_prefill_ms(tokens)
        self.assertAlmostEqual(ratio, self._slowness()[0])

    def test_an_engine_that_gets_only_long_prompts_is_not_taken_for_slow(self) -> None:
        for _ in range(30):
            self._second(1.0, 1.0, 1.0, 1.0, tokens=(9_000, 600, 600, 600))
            self.assertEqual(self._slowness(), [1] * 4)

    def test_an_engine_that_fails_requests_is_not_taken_for_slow(self) -> None:
        # A grey engine fails half of its requests; the link to it delays the others.
        for _ in range(20):
            self._second(1.0, 1.0, 1.0, 1.0)
        before = self.placer.engines["e0"].speed.usual
        for _ in range(40):
            self._answer("e0", 1.0, outcome=RunOutcome.BROKEN)
            self._answer("e0", 8.0)
        self.assertEqual(self.placer.engines["e0"].speed.usual, before)

    def test_answers_during_a_reported_slowdown_do_not_change_the_usual_speed(self) -> None:
        for _ in range(20):
            self._second(1.0, 1.0, 1.0, 1.0)
        for _ in range(10):
            self._answer("e0", 2.5, slowdown=2.5)
            self.clock._now_ms += 3_000
        self.assertEqual(self.placer.engines["e0"].speed.usual_factor, 1)

    def test_a_host_that_always_reports_a_slowdown_is_as_quick_as_its_answers(self) -> None:
        for _ in range(30):
            self._second(1.0, 1.0, 1.0, 1.0)
            for _ in range(5):
                self._answer("e0", 1.0, slowdown=5.0)
        self.assertEqual(self._slowness(), [1] * 4)

    def test_a_service_whose_engines_all_slow_down_has_equal_engines(self) -> None:
        for _ in range(20):
            self._second(1.0, 1.0, 1.0, 1.0)
        before_ms = self.placer.engines["e0"].expected_prefill_ms(1_000)
        for _ in range(80):
            self._second(3.0, 3.0, 3.0, 3.0)
        self.assertEqual(self._slowness(), [1] * 4)
        after_ms = self.placer.engines["e0"].expected_prefill_ms(1_000)
        self.assertAlmostEqual(after_ms / before_ms, 3, delta=0.6)

    def test_the_next_leader_begins_with_the_speeds_of_engines(self) -> None:
        for _ in range(20):
            self._second(4.0, 1.0, 1.0, 1.0)
        kind = dict(self.placer.kinds.learned(self.placer.engines.values()))["s"]
        self.assertEqual(list(kind.ratios), ["e0"])
        successor = Placer(self.clock)
        successor.kinds.restore("s", kind)
        for name in ("e0", "e1"):
            successor.engine_up(name, "s", "dc", SPEC)
        self.assertAlmostEqual(successor.engines["e0"].slowness, 4, delta=0.6)
        self.assertEqual(successor.engines["e1"].slowness, 1)

    def test_an_engine_that_restarts_begins_with_the_figures_of_its_service(self) -> None:
        for _ in range(20):
            self._second(4.0, 1.0, 1.0, 1.0)
        kind = dict(self.placer.kinds.learned(self.placer.engines.values()))["s"]
        self.placer.kinds.restore("s", kind)
        # Each start of an engine has an instance of its own.
        self.placer.engine_down("e0")
        self.assertEqual(self._up("e0~2").slowness, 1)
        kind = dict(self.placer.kinds.learned(self.placer.engines.values()))["s"]
        self.assertEqual(kind.ratios, {})

    def test_the_speeds_that_are_stored_are_bounded(self) -> None:
        for number in range(2 * MAX_RATIOS):
            self._up(f"slow{number}").speed.usual = 2.0 + number / 100
        for _ in range(30):
            for name in ("e0", "e1", "e2", "e3"):
                self._answer(name, 1.0)
        kind = dict(self.placer.kinds.learned(self.placer.engines.values()))["s"]
        self.assertEqual(len(kind.ratios), MAX_RATIOS)
        self.assertIn(f"slow{2 * MAX_RATIOS - 1}", kind.ratios)
        self.assertLess(len(msgspec.msgpack.encode(kind)), 2_000)


class SlowEngineChoiceTest(unittest.TestCase):
    """What one slow engine of two is chosen for."""

    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.placer = Placer(self.clock)
        for name in ("slow", "quick"):
            self.placer.engine_up(name, "s", "dc", SPEC)
            self.placer.engine_reported(name, EngineReport({MODEL: 1}, {NAME: 1}, {}, 0))
        self.quick = self.placer.engines["quick"]
        self.placer.slowed.note_all({"slow": 3.0})

    def _place(self, ticket: str, tokens: int, objective_ms: int = 800) -> str:
        """Return the engine that a request gets at once; empty if it waits."""
        req = PlaceRequest(
            ticket, "s", NAME, tokens, 60, (), 1, objective_ms, 9_000, "dc", (), 300
        )  # fmt: skip
        self.placer.submit(req)
        found = [one for one in self.placer.decide() if isinstance(one, Grant)]
        return next((one.instance for one in found if one.ticket == ticket), "")

    def test_the_quick_engine_gets_the_first_of_equal_requests(self) -> None:
        self.assertEqual(self._place("g/1", 600), "quick")

    def test_a_long_prompt_waits_for_the_quick_engine_rather_than_be_late(self) -> None:
        for number in range(2):
            self.assertEqual(self._place(f"g/{number}", 4_000, 9_000), "quick" * (not number))
        self.placer.withdraw("g/1")
        with mock.patch.object(Engine, "has_room", lambda engine, req: engine is not self.quick):
            self.assertEqual(self._place("long", 9_000), "")
            self.assertEqual(self._place("short", 600), "slow")
        self.clock._now_ms += 300
        self.placer.release("g/0", RunOutcome.DONE)
        self.assertIn("long", [one.ticket for one in self.placer.decide()])

    def test_a_request_that_is_late_anyway_takes_the_slow_engine(self) -> None:
        with mock.patch.object(Engine, "has_room", lambda engine, req: engine is not self.quick):
            self.assertEqual(self._place("late", 9_000, 100), "slow")

    def test_streams_on_a_slowed_engine_bear_less_prefill(self) -> None:
        pauses = PauseBudget(40.0)
        pauses.add(300)
        usual, slowed = pauses.window(), pauses.window(slowdown=2.0)
        assert usual is not None and slowed is not None
        self.assertLess(slowed.budget_ms, usual.budget_ms)


class SpeedLogTest(unittest.TestCase):
    def test_it_logs_once_which_engine_is_slow_and_when_it_is_no_longer(self) -> None:
        clock = ManualClock(60_000)
        placer = Placer(clock)
        for number in range(3 * MAX_LINES):
            placer.engine_up(f"e{number}", "s", "dc", SPEC)
        engines = placer.engines.values()
        speeds = SpeedLog(clock)
        with self.assertNoLogs("chestnutfall.coordination.speed_log"):
            placer.engines["e0"].speed.rescale(2.0, clock.now_ms())
            speeds.update(engines)
        clock._now_ms += LASTS_MS
        with self.assertLogs("chestnutfall.coordination.speed_log") as slow:
            speeds.update(engines)
            speeds.update(engines)
        self.assertEqual(len(slow.output), 1)
        self.assertIn("instance=e0 takes=2.00 times as long since_ms=60000", slow.output[0])
        placer.engines["e0"].speed.rescale(0.5, clock.now_ms())
        with self.assertLogs("chestnutfall.coordination.speed_log") as usual:
            speeds.update(engines)
        self.assertIn("instance=e0 as usual after ms=2000", usual.output[0])
        for engine in engines:
            engine.speed.rescale(3.0, clock.now_ms())
        clock._now_ms += LASTS_MS
        with self.assertLogs("chestnutfall.coordination.speed_log") as many:
            speeds.update(engines)
        self.assertEqual(len(many.output), MAX_LINES + 1)


@dataclass(frozen=True, slots=True)
class _EarlierKind:
    """`EngineKind` as earlier releases store and read it."""

    first_ms: float = 25.0
    ms_per_token: float = 0.05
    prompt_tokens: float = 1_000.0
    gap_ms: float = 40.0
    load_ms: float = 290.0


class StoredKindTest(unittest.TestCase):
    def test_records_are_readable_by_earlier_and_later_releases(self) -> None:
        now = EngineKind(30.0, ratios={"e0": 2.0})
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(now), type=_EarlierKind)
        self.assertEqual(read, _EarlierKind(30.0))
        earlier = msgspec.msgpack.encode(_EarlierKind(30.0))
        self.assertEqual(
            msgspec.msgpack.decode(earlier, type=EngineKind), EngineKind(30.0, ratios={})
        )

    def test_it_is_stored_again_only_when_a_speed_changed_much(self) -> None:
        kind = EngineKind(ratios={"e0": 2.0})
        self.assertFalse(replace(kind, ratios={"e0": 2.4}).differs_from(kind))
        self.assertTrue(replace(kind, ratios={"e0": 2.7}).differs_from(kind))
        self.assertTrue(replace(kind, ratios={}).differs_from(kind))
        self.assertTrue(kind.differs_from(replace(kind, ratios={})))
