"""Placement of requests on engines: loads, evictions and their limits.

If an adapter is dropped while requests use it, or an engine is ordered to hold more adapters than
fit and crashes, callers get an answer of another adapter, or none. The properties run random
requests, releases and failing orders, and check both conditions after every step.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from ..clock import ManualClock
from ..placement import (
    AdapterName,
    EngineReport,
    Grant,
    LoadAdapter,
    LoadModel,
    PlaceRequest,
    Reject,
    RunOutcome,
    UnloadAdapter,
)
from ..placement.engine import MAX_CONCURRENT_LOADS
from ..placement.placer import Placer
from ..routes import EngineSpec, ModelSpec

MODEL = "base"
SLOTS = 3
SPEC = EngineSpec(4, 100_000, (ModelSpec(MODEL, 50),), 60, SLOTS, 5)
EMPTY = EngineReport({MODEL: 1}, {}, {}, 0)


def _request(ticket: str, adapter: str, rank: int = 1, wait_ms: int = 4000) -> PlaceRequest:
    name = AdapterName(MODEL, adapter)
    return PlaceRequest(ticket, "s", name, 100, 10, (), rank, 500, wait_ms, "dc")


class _PlacerHarness:
    """A placer, and engines that carry out its orders at once.

    Attributes
    ----------
    takes_orders : bool
        Whether engines accept orders to load; if not, the orders stay unanswered.
    """

    def __init__(self, *engines: str) -> None:
        self.clock = ManualClock()
        self.placer = Placer(self.clock)
        self.held: dict[str, set[AdapterName]] = {engine: set() for engine in engines}
        self.granted: dict[str, str] = {}
        self.rejected: list[str] = []
        self.loads: list[LoadAdapter] = []
        self.adapters: dict[str, AdapterName] = {}
        self.takes_orders = True
        for engine in engines:
            self.placer.engine_up(engine, "s", "dc", SPEC)
            self.placer.engine_reported(engine, EMPTY)

    def submit(self, ticket: str, adapter: str, rank: int = 1, wait_ms: int = 4000) -> None:
        self.adapters[ticket] = AdapterName(MODEL, adapter)
        self.placer.submit(_request(ticket, adapter, rank, wait_ms))

    def decide(self) -> None:
        for decision in self.placer.decide():
            match decision:
                case Grant(ticket, instance):
                    assert self.adapters[ticket] in self.held[instance]
                    self.granted[ticket] = instance
                case Reject(ticket):
                    self.rejected.append(ticket)
                case LoadAdapter(instance, adapter):
                    self.held[instance].add(adapter)
                    if self.takes_orders:
                        self.placer.table.note_taken(decision)
                    assert len(self.held[instance]) <= SLOTS, "more adapters than fit"
                    self.loads.append(decision)
                case UnloadAdapter(instance, adapter):
                    users = [t for t, at in self.granted.items() if at == instance]
                    assert adapter not in {self.adapters[t] for t in users}, "evicted in use"
                    self.held[instance].discard(adapter)
                case LoadModel():
                    raise AssertionError("the engines hold their model")

    async def pass_ms(self, ms: int) -> None:
        await self.clock.advance(ms)
        self.decide()

    def release(self, ticket: str, outcome: RunOutcome = RunOutcome.DONE) -> None:
        self.granted.pop(ticket)
        self.placer.release(ticket, outcome)


class PlacerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_waits_for_its_load_and_the_next_one_does_not(self) -> None:
        harness = _PlacerHarness("e1")
        harness.submit("t1", "a1")
        harness.decide()
        self.assertEqual(harness.granted, {})
        await harness.pass_ms(300)
        self.assertEqual(harness.granted, {"t1": "e1"})
        harness.submit("t2", "a1")
        harness.decide()
        self.assertEqual(harness.granted["t2"], "e1")
        self.assertEqual(len(harness.loads), 1)

    async def test_an_adapter_returns_to_the_engine_that_held_it(self) -> None:
        harness = _PlacerHarness("e1", "e2")
        for at in range(SLOTS + 1):
            harness.submit(f"t{at}", f"a{at}")
            harness.decide()
            await harness.pass_ms(300)
            harness.release(f"t{at}")
        first = next(load for load in harness.loads if load.adapter.adapter == "a0")
        engine = harness.placer.engines[first.instance]
        engine.note_dropped(first.adapter)
        harness.held[first.instance].discard(first.adapter)
        harness.submit("again", "a0")
        harness.decide()
        await harness.pass_ms(40)
        self.assertEqual(harness.granted["again"], first.instance)

    async def test_nothing_runs_on_an_adapter_whose_order_still_waits(self) -> None:
        # An engine leaves orders unanswered, and later orders wait behind them for a second.
        # Requests sent at the expected end of such a load would be refused one after another.
        harness = _PlacerHarness("e1")
        harness.takes_orders = False
        harness.submit("t1", "a1")
        harness.decide()
        await harness.pass_ms(1_000)
        self.assertEqual(harness.granted, {})
        harness.placer.table.note_taken(harness.loads[0])
        await harness.pass_ms(200)
        self.assertEqual(harness.granted, {})
        await harness.pass_ms(100)
        self.assertEqual(harness.granted, {"t1": "e1"})

    async def test_full_engines_make_requests_wait_by_urgency(self) -> None:
        harness = _PlacerHarness("e1")
        for at in range(SPEC.batch):
            harness.submit(f"t{at}", "a1")
        await harness.pass_ms(0)
        await harness.pass_ms(300)
        harness.submit("later", "a1", rank=2)
        harness.submit("urgent", "a1", rank=0)
        harness.decide()
        self.assertEqual(len(harness.granted), SPEC.batch)
        harness.release("t0")
        harness.decide()
        self.assertIn("urgent", harness.granted)
        self.assertNotIn("later", harness.granted)

    async def test_a_request_that_waits_for_an_adapter_takes_no_place_in_the_batch(self) -> None:
        # Half of the engines are lost, and a third of all requests need a load. If these held
        # places in the batch, the engine would run two requests and wait for two adapters; if
        # not, the adapters are loaded by the time the first two requests end.
        harness = _PlacerHarness("e1")
        for at in range(SPEC.batch):
            harness.submit(f"t{at}", "a1")
        await harness.pass_ms(0)
        await harness.pass_ms(300)
        self.assertEqual(len(harness.granted), SPEC.batch)
        harness.submit("loads", "a2")
        harness.decide()
        self.assertEqual([one.adapter.adapter for one in harness.loads], ["a1", "a2"])
        await harness.pass_ms(300)
        self.assertNotIn("loads", harness.granted)
        harness.release("t0")
        harness.decide()
        self.assertIn("loads", harness.granted)

    async def test_requests_that_can_be_in_time_go_before_late_ones(self) -> None:
        # A burst fills all places; order of arrival alone would make every later request late.
        harness = _PlacerHarness("e1")
        for at in range(SPEC.batch):
            harness.submit(f"t{at}", "a1")
        harness.decide()
        await harness.pass_ms(300)
        harness.submit("late", "a1")
        await harness.pass_ms(600)
        harness.submit("fresh", "a1")
        harness.decide()
        harness.release("t0")
        harness.decide()
        self.assertIn("fresh", harness.granted)
        self.assertNotIn("late", harness.granted)

    async def test_requests_that_cannot_be_served_are_refused_at_once(self) -> None:
        harness = _PlacerHarness("e1")
        for at in range(SPEC.batch + 200):
            harness.submit(f"t{at}", "a1")
        harness.decide()
        self.assertGreater(len(harness.rejected), 50)
        self.assertNotIn(f"t{SPEC.batch}", harness.rejected)

    async def test_a_request_without_time_left_is_refused_at_once(self) -> None:
        harness = _PlacerHarness("e1")
        harness.submit("short", "a1", wait_ms=20)
        harness.decide()
        self.assertEqual(harness.rejected, ["short"])

    async def test_a_named_version_replaces_the_older_one_before_the_next_grant(self) -> None:
        harness = _PlacerHarness("e1")
        name = AdapterName(MODEL, "a1")
        harness.placer.engine_reported("e1", EngineReport({MODEL: 1}, {name: 1}, {}, 0))
        harness.held["e1"].add(name)
        harness.placer.name_version(name, 2)
        harness.submit("t1", "a1")
        harness.decide()
        self.assertEqual([(load.adapter, load.version) for load in harness.loads], [(name, 2)])
        self.assertEqual(harness.granted, {})
        await harness.pass_ms(300)
        self.assertIn("t1", harness.granted)

    async def test_an_adapter_that_may_still_be_on_its_way_is_not_evicted(self) -> None:
        # An unload of an adapter that is not loaded yet has no effect, and the load that follows
        # would exceed the slots.
        harness = _PlacerHarness("e1")
        harness.submit("t0", "a0")
        harness.decide()
        await harness.pass_ms(300)
        harness.release("t0", RunOutcome.WITHDRAWN)
        harness.submit("t1", "a1")
        harness.submit("t2", "a2")
        harness.submit("t3", "a3")
        harness.decide()
        self.assertEqual([load.adapter.adapter for load in harness.loads], ["a0", "a1", "a2"])

    async def test_many_early_requests_raise_the_load_time_no_further_than_one(self) -> None:
        # After a cold start all first loads take a little longer than estimated. If each of them
        # raised the estimate by itself, every later load would be awaited for seconds.
        harness = _PlacerHarness("e1", "e2", "e3", "e4")
        for at in range(12):
            harness.submit(f"t{at}", f"a{at}")
        harness.decide()
        await harness.pass_ms(260)
        for ticket in list(harness.granted):
            harness.release(ticket, RunOutcome.FULL)
        for engine in harness.placer.engines.values():
            self.assertLess(engine.load_time.expected_ms(from_copy=False), 320)

    async def test_a_request_that_came_too_early_waits_for_the_load_that_is_under_way(self) -> None:
        # A request is sent at the expected end of its load and refused, since the load takes some
        # ms longer. Placed on another engine, it would wait for a second whole load, which also
        # evicts another adapter; with many engines that would happen nearly every time.
        for engines in (2, 30):
            with self.subTest(engines=engines):
                harness = _PlacerHarness(*(f"e{at}" for at in range(engines)))
                harness.submit("t1", "a1")
                harness.decide()
                await harness.pass_ms(300)
                before = harness.granted["t1"]
                harness.release("t1", RunOutcome.ABSENT)
                harness.submit("t2", "a1")
                harness.decide()
                await harness.pass_ms(100)
                self.assertEqual(harness.granted["t2"], before)
                self.assertEqual(len(harness.loads), 1)

    async def test_waiting_requests_move_when_their_engine_goes(self) -> None:
        harness = _PlacerHarness("e1", "e2")
        harness.submit("t1", "a1")
        harness.decide()
        harness.placer.engine_down(harness.loads[0].instance)
        harness.decide()
        await harness.pass_ms(300)
        self.assertNotEqual(harness.granted["t1"], harness.loads[0].instance)

    @given(st.data())
    def test_no_engine_holds_more_than_fits_and_nothing_in_use_is_evicted(
        self, data: st.DataObject
    ) -> None:
        harness = _PlacerHarness("e1", "e2")
        for step in range(data.draw(st.integers(5, 40))):
            match data.draw(st.sampled_from(("submit", "release", "fail", "wait"))):
                case "submit":
                    harness.submit(f"t{step}", f"a{data.draw(st.integers(0, 9))}")
                case "release" if harness.granted:
                    ticket = data.draw(st.sampled_from(sorted(harness.granted)))
                    harness.release(ticket, data.draw(st.sampled_from(list(RunOutcome))))
                case "fail" if harness.loads:
                    self._fail_load(harness, data.draw(st.sampled_from(harness.loads)))
                case _:
                    harness.clock._now_ms += data.draw(st.integers(1, 400))
            harness.decide()
            for engine in harness.placer.engines.values():
                sent = [at for at in harness.granted.values() if at == engine.instance]
                self.assertLessEqual(len(sent), SPEC.batch)
                self.assertLessEqual(len(engine.holdings), SLOTS)
                transit = engine.loading_count(harness.clock.now_ms())
                self.assertLessEqual(transit, MAX_CONCURRENT_LOADS)

    @staticmethod
    def _fail_load(harness: _PlacerHarness, load: LoadAdapter) -> None:
        engine = harness.placer.engines[load.instance]
        held = engine.holdings.get(load.adapter)
        if held is None or held.ready_ms <= harness.clock.now_ms():
            return
        harness.placer.order_failed(load)
        harness.held[load.instance].discard(load.adapter)
        adapters = dict.fromkeys(harness.held[load.instance], 1)
        report = EngineReport({MODEL: 1}, adapters, {}, 0)
        harness.placer.engine_reported(load.instance, report)
