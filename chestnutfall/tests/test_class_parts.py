"""Parts of the order of classes: floors, long prompts, rates and log lines."""

from __future__ import annotations

import math
import unittest
from dataclasses import replace

from ..clock import ManualClock
from ..limits.limit_registry import LimitRegistry
from ..placement import AdapterName, EngineReport, PlaceRequest
from ..placement.class_floor import FLOOR, ClassFloor
from ..placement.class_log import LOG_MS, ClassLog
from ..placement.engine import Engine
from ..placement.engine_kind import EngineKind
from ..placement.long_prompts import LongPrompts
from ..placement.placement_rate import MIN_SHARE, PlacementRate
from ..placement.placer import Placer
from ..placement.prefill_speed import PrefillSpeed
from ..placement.store_times import StoreTimes
from ..placement.waiting_request import WaitingRequest
from ..routes import EngineSpec
from ..signals.backoff_registry import BackoffRegistry

SPEC = EngineSpec(64, 400_000, (), 0, 0, 1)
SHORT_TOKENS, LONG_TOKENS = 600, 9_000


def _engines(count: int) -> list[Engine]:
    clock, kind = ManualClock(), EngineKind()
    limits, backoffs = LimitRegistry(clock), BackoffRegistry(clock)
    return [
        Engine(
            f"e{number}",
            "s",
            "dc",
            SPEC,
            kind,
            PrefillSpeed(kind),
            StoreTimes(kind.load_ms),
            limits.ensure(f"e{number}"),
            backoffs.ensure(f"e{number}"),
        )
        for number in range(count)
    ]


def _request(tokens: int, rank: int = 0) -> PlaceRequest:
    name = AdapterName("", "")
    return PlaceRequest("g/1", "s", name, tokens, 70, (), rank, 500, 4_000, "dc", (), 500)


class ClassFloorTest(unittest.TestCase):
    def _floor(self, arrived: dict[int, int], granted: dict[int, int]) -> ClassFloor:
        floor = ClassFloor()
        for rank, count in arrived.items():
            for _ in range(count):
                floor.note_arrival("s", rank, 0)
        for rank, count in granted.items():
            for _ in range(count):
                floor.note_grant("s", rank, 0)
        return floor

    def test_a_class_behind_is_owed_up_to_its_floor(self) -> None:
        floor = self._floor({0: 90, 1: 10}, {0: 52})
        self.assertEqual(floor.owed("s", 0), {1: math.ceil(FLOOR * 0.52 * 10)})

    def test_nothing_is_owed_while_there_is_room_or_one_class(self) -> None:
        self.assertEqual(self._floor({0: 90, 1: 10}, {0: 90, 1: 9}).owed("s", 0), {})
        self.assertEqual(self._floor({0: 90}, {0: 10}).owed("s", 0), {})
        self.assertEqual(ClassFloor().owed("s", 0), {})

    def test_a_class_that_stopped_asking_is_owed_nothing_for_long(self) -> None:
        floor = self._floor({0: 90, 1: 10}, {0: 50})
        for now_ms in range(0, 20_000, 100):
            floor.note_arrival("s", 0, now_ms)
        self.assertEqual(floor.owed("s", 20_000).get(1, 0), 0)


class LongPromptsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.long_prompts = LongPrompts()
        self.engines = _engines(4)
        for _ in range(30):
            self.long_prompts.note_prompt("s", SHORT_TOKENS)

    def _barred(self, tokens: int, now_ms: int = 0) -> set[str]:
        return set(self.long_prompts.barred(_request(tokens), (), self.engines, now_ms))

    def _assign(self, engine: Engine) -> None:
        req = replace(_request(LONG_TOKENS), ticket=f"g/{engine.instance}")
        engine.start(req, ())
        self.long_prompts.note_assigned(req, engine, 0.0, 0)

    def _begin_round(self, waiting_tokens: int) -> None:
        self.long_prompts.note_waiting(_request(waiting_tokens))
        self.long_prompts.begin_round()

    def test_long_prompts_get_a_part_of_the_engines_while_short_ones_wait(self) -> None:
        self._begin_round(SHORT_TOKENS)
        self.assertEqual(self._barred(LONG_TOKENS), set())
        self._assign(self.engines[0])
        self.assertEqual(self._barred(LONG_TOKENS), {"e0"})
        self._assign(self.engines[1])
        self.assertEqual(self._barred(LONG_TOKENS), {"e0", "e1", "e2", "e3"})
        self.assertEqual(self._barred(SHORT_TOKENS), set())
        self.assertEqual(self._barred(LONG_TOKENS, now_ms=1_000), set())

    def test_one_that_lost_its_engine_does_not_count(self) -> None:
        self._begin_round(SHORT_TOKENS)
        self._assign(self.engines[0])
        self.long_prompts.note_unassigned("g/e0")
        self.assertEqual(self._barred(LONG_TOKENS), set())

    def test_they_may_use_all_engines_while_no_short_one_waits(self) -> None:
        self._begin_round(LONG_TOKENS)
        for engine in self.engines:
            self._assign(engine)
        self.assertEqual(self._barred(LONG_TOKENS), set())

    def test_a_service_of_long_prompts_has_no_long_ones(self) -> None:
        for _ in range(300):
            self.long_prompts.note_prompt("s", LONG_TOKENS)
        self._begin_round(SHORT_TOKENS)
        for engine in self.engines:
            self._assign(engine)
        self.assertEqual(self._barred(LONG_TOKENS), set())


class PlacementRateOfClassesTest(unittest.TestCase):
    def test_a_less_urgent_class_gets_what_the_more_urgent_leave(self) -> None:
        # A hundred urgent requests a second take all room. A deferred one that is judged by the
        # rate of all would be held until its caller gives up.
        rate = PlacementRate()
        for now_ms in range(0, 4_000, 10):
            rate.note("s", True, now_ms, rank=0)
        for now_ms in range(0, 4_000, 200):
            rate.note("s", True, now_ms, rank=1)
        self.assertAlmostEqual(rate.interval_ms("s", 100, 4_000, rank=0), 1000 / 105, delta=0.5)
        self.assertAlmostEqual(rate.interval_ms("s", 100, 4_000, rank=1), 200, delta=30)

    def test_a_class_that_did_not_ask_lately_may_use_the_room(self) -> None:
        least_ms = 1000 / (300 * MIN_SHARE)
        self.assertEqual(PlacementRate().interval_ms("s", 300, 0, rank=2), least_ms)


class PrefillTurnTest(unittest.TestCase):
    def test_a_prompt_that_became_late_frees_its_engine(self) -> None:
        # A prompt waits for room in the window until it is late. If it kept its engine, it would
        # count against the prompts that can still be in time.
        clock = ManualClock()
        placer = Placer(clock)
        placer.engine_up("e1", "s", "dc", SPEC)
        placer.engine_reported("e1", EngineReport({}, {}, {}, 0))
        placer.submit(replace(_request(7_000, rank=1), ticket="g/first"))
        list(placer.decide())
        placer.submit(replace(_request(2_000), ticket="g/waits"))
        engine = placer.engines["e1"]
        list(placer.decide())
        self.assertEqual(list(engine.prefill.waiting), ["g/waits"])
        clock._now_ms = 390
        self.assertEqual(list(placer.decide()), [])
        self.assertEqual(list(engine.prefill.waiting), [])


class ClassLogTest(unittest.TestCase):
    def test_a_class_is_logged_once_a_second_while_room_is_short(self) -> None:
        class_log = ClassLog()
        class_log.write_due((), 0)
        class_log.note_granted(_request(SHORT_TOKENS), in_time=True)
        for rank in (1, 1, 77, 78):
            class_log.note_refused(_request(SHORT_TOKENS, rank))
        with self.assertLogs("chestnutfall.placement.class_log", "INFO") as lines:
            waiting = [WaitingRequest(_request(SHORT_TOKENS, 1), 0)]
            class_log.write_due(waiting, LOG_MS)
            class_log.write_due(waiting, LOG_MS + 1)
        self.assertEqual(
            [line.partition("classes: ")[2] for line in lines.output],
            [
                "service=s rank=1 in_time=0 late=0 refused=2 waiting=1",
                "service=s rank=9 in_time=0 late=0 refused=2 waiting=0",
            ],
        )
        class_log.note_granted(_request(SHORT_TOKENS), in_time=True)
        with self.assertNoLogs("chestnutfall.placement.class_log", "INFO"):
            class_log.write_due(waiting, 2 * LOG_MS + 1)
