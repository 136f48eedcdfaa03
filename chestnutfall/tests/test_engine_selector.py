"""Selection of engines in decision rounds with several hundred waiting requests.

After an outage more requests wait than engines can load adapters for. A round that evaluates every
engine for each of them takes longer than the interval between rounds: callers see every answer
late, and gateways leave a healthy leader.
"""

from __future__ import annotations

import unittest
from unittest import mock

from ..clock import ManualClock
from ..placement import AdapterName, EngineReport, LoadAdapter, PlaceRequest, Reject
from ..placement.engine import Engine
from ..placement.placer import Placer
from ..placement.reachability import Reachability
from ..placement.upstream_health import EJECTION_MS
from ..routes import EngineSpec, ModelSpec

MODEL = "base"
ENGINES = 12
WAITING = 200
_CAN_LOAD_MORE = Engine.can_load_more
SPEC = EngineSpec(16, 200_000, (ModelSpec(MODEL, 50),), 60, 4, 30)


def _request(ticket: str, adapter: str, data_centre: str = "dc") -> PlaceRequest:
    name = AdapterName(MODEL, adapter)
    return PlaceRequest(ticket, "s", name, 600, 60, (), 1, 500, 60_000, data_centre)


def _placer(clock: ManualClock) -> Placer:
    placer = Placer(clock)
    for number in range(ENGINES):
        placer.engine_up(f"e{number}", "s", f"dc{number % 2}", SPEC)
        placer.engine_reported(f"e{number}", EngineReport({MODEL: 1}, {}, {}, 0))
    return placer


def _busy_with_a_copy() -> tuple[ManualClock, Placer, Engine]:
    """Return a clock, a placer, and the one engine that has a copy of adapter a0."""
    clock = ManualClock()
    placer = _placer(clock)
    busy = placer.engines["e0"]
    busy.note_dropped(AdapterName(MODEL, "a0"))
    return clock, placer, busy


class EngineSelectorTest(unittest.TestCase):
    def test_a_round_evaluates_each_engine_once_for_any_number_of_requests(self) -> None:
        # An outage of the controllers ends; no engine holds an adapter that is requested.
        clock = ManualClock()
        placer = _placer(clock)
        for number in range(WAITING):
            placer.submit(_request(f"t{number}", f"a{number}"))
        with mock.patch.object(Engine, "can_load_more", autospec=True) as looks:
            looks.side_effect = _CAN_LOAD_MORE
            loads = [one for one in placer.decide() if isinstance(one, LoadAdapter)]
            self.assertEqual(len(loads), ENGINES * SPEC.adapter_slots)
            self.assertLessEqual(looks.call_count, ENGINES + len(loads))
            looks.reset_mock()
            clock._now_ms += 4
            self.assertEqual(list(placer.decide()), [])
            self.assertLessEqual(looks.call_count, ENGINES)

    def test_a_placement_counts_for_the_next_request_of_the_round(self) -> None:
        # If costs were computed only once a round, one engine would get every request of a burst.
        placer = _placer(ManualClock())
        for number in range(ENGINES):
            placer.submit(_request(f"t{number}", f"a{number}", "dc0"))
        loads = [one for one in placer.decide() if isinstance(one, LoadAdapter)]
        self.assertEqual(len({load.instance for load in loads}), ENGINES)

    def test_a_request_waits_briefly_for_the_engine_that_has_a_copy(self) -> None:
        # All adapter slots are in use. A request that goes to another engine at once waits ten
        # times as long for its load there, and takes the slot that another request needs.
        clock, placer, busy = _busy_with_a_copy()
        with mock.patch.object(Engine, "can_load_more", lambda one, now_ms: one is not busy):
            placer.submit(_request("t0", "a0"))
            self.assertEqual(list(placer.decide()), [])
            clock._now_ms += 20
            self.assertEqual(list(placer.decide()), [])
        loads = [one for one in placer.decide() if isinstance(one, LoadAdapter)]
        self.assertEqual([load.instance for load in loads], ["e0"])

    def test_it_waits_only_while_a_load_elsewhere_would_be_in_time(self) -> None:
        clock, placer, busy = _busy_with_a_copy()
        with mock.patch.object(Engine, "can_load_more", lambda one, now_ms: one is not busy):
            placer.submit(_request("t0", "a0"))
            self.assertEqual(list(placer.decide()), [])
            clock._now_ms += 100
            loads = [one for one in placer.decide() if isinstance(one, LoadAdapter)]
        self.assertEqual(len(loads), 1)
        self.assertNotEqual(loads[0].instance, "e0")

    def test_a_request_that_will_be_late_goes_behind_those_in_time(self) -> None:
        # One adapter slot is left. The first request of the queue has waited so long that its
        # load would end too late; if it were served first, both would be late.
        clock = ManualClock()
        placer = Placer(clock)
        spec = EngineSpec(16, 200_000, (ModelSpec(MODEL, 50),), 60, 1, 30)
        placer.engine_up("e0", "s", "dc0", spec)
        placer.engine_reported("e0", EngineReport({MODEL: 1}, {}, {}, 0))
        engine = placer.engines["e0"]
        with mock.patch.object(Engine, "can_load_more", lambda one, now_ms: False):
            placer.submit(_request("early", "a0"))
            clock._now_ms += 300
            self.assertEqual(list(placer.decide()), [])
        placer.submit(_request("fresh", "a1"))
        loads = [one for one in placer.decide() if isinstance(one, LoadAdapter)]
        self.assertEqual([load.adapter.adapter for load in loads], ["a1"])
        self.assertEqual(len(engine.running), 1)


class ServableTest(unittest.TestCase):
    def test_a_request_that_will_be_late_and_not_served_is_refused_at_once(self) -> None:
        # Half of the engines are lost, and the others start ten requests a second. A request
        # whose turn comes after its objective, behind others that are late already, would wait
        # for seconds until its caller gives up.
        clock = ManualClock()
        placer = Placer(clock)
        placer.engine_up("e0", "s", "dc0", SPEC)
        placer.engine_reported("e0", EngineReport({MODEL: 1}, {}, {}, 0))
        with mock.patch.object(Engine, "can_load_more", lambda one, now_ms: False):
            for number in range(8):
                placer.submit(_short(f"late{number}"))
            clock._now_ms += 450
            list(placer.decide())
            for number in range(4):
                placer.submit(_short(f"fresh{number}"))
            rejected = [one.ticket for one in placer.decide() if isinstance(one, Reject)]
        self.assertIn("fresh3", rejected)
        self.assertNotIn("fresh0", rejected)

    def test_requests_that_wait_for_loads_do_not_delay_others(self) -> None:
        # While engines load slowly for a moment, many requests wait for their loads. If these
        # counted as a queue, all other requests would be refused.
        clock = ManualClock()
        placer = Placer(clock)
        spec = EngineSpec(64, 200_000, (ModelSpec(MODEL, 50),), 60, 16, 30)
        placer.engine_up("e0", "s", "dc0", spec)
        placer.engine_reported("e0", EngineReport({MODEL: 1}, {}, {}, 0))
        for number in range(40):
            placer.submit(_short(f"loading{number % 4}-{number}", f"a{number % 4}"))
        list(placer.decide())
        clock._now_ms += 450
        for number in range(30):
            placer.submit(_short(f"fresh{number}"))
        rejected = [one.ticket for one in placer.decide() if isinstance(one, Reject)]
        self.assertEqual(rejected, [])


def _short(ticket: str, adapter: str = "") -> PlaceRequest:
    name = AdapterName(MODEL, adapter or ticket)
    return PlaceRequest(ticket, "s", name, 600, 60, (), 1, 500, 4_000, "dc0")


class EjectionTest(unittest.TestCase):
    def test_a_link_that_loses_some_packets_leaves_an_engine_in_use(self) -> None:
        # A few connections in a hundred fail beside many answers. If each failure ejected the
        # engine, a quarter of the engines would be idle while requests wait for the others.
        reach = Reachability()
        for now_ms in range(0, 1_000, 100):
            reach.note_failed("g", True, now_ms)
            self.assertFalse(reach.is_down(now_ms))
            reach.note_reached("g")

    def test_an_engine_that_is_down_is_ejected_at_the_second_failure(self) -> None:
        reach = Reachability()
        reach.note_reached("g")
        for now_ms in (10, 20):
            reach.note_failed("g", True, now_ms)
        self.assertTrue(reach.is_down(20))
        self.assertFalse(reach.is_down(20 + EJECTION_MS))

    # Guards against engines that are lost to all gateways since one of them can't reach them.
    def test_an_engine_that_one_gateway_does_not_reach_stays_in_use_for_the_others(self) -> None:
        reach = Reachability()
        for now_ms in range(0, 1_000, 10):
            reach.note_failed("cut off", False, now_ms)
        self.assertFalse(reach.is_down(1_000))
        self.assertTrue(reach.is_cut_from("cut off", 1_000))
        self.assertFalse(reach.is_cut_from("other", 1_000))

    # Guards against engines that are ejected again and again though some gateways reach them.
    def test_an_answer_to_any_gateway_shows_that_an_engine_is_up(self) -> None:
        reach = Reachability()
        for now_ms in (10, 20):
            reach.note_failed("cut off", True, now_ms)
        reach.note_reached("other")
        self.assertFalse(reach.is_down(21))
        self.assertTrue(reach.is_cut_from("cut off", 21))
