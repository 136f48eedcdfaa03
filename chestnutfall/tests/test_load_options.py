"""The leader's work for requests that need a load of their adapter.

With 90 engines and a third of 820 requests a second in need of a load, a leader that looked at each
engine for each of them, and at each request that only waits in each round, used over a core.
"""

from __future__ import annotations

import random
import unittest
from unittest import mock

from ..clock import ManualClock
from ..placement import AdapterName, EngineReport, Grant, LoadAdapter, PlaceRequest, Reject
from ..placement.demand import Demand
from ..placement.engine import Engine
from ..placement.engine_selector import EngineSelector
from ..placement.place_option import PlaceOption
from ..placement.placer import Placer
from ..placement.wanted_versions import WantedVersions
from ..routes import EngineSpec, ModelSpec

MODEL = "base"
ENGINES = 40
SLOTS = 4
SPEC = EngineSpec(16, 200_000, (ModelSpec(MODEL, 50),), 60, SLOTS, 30)
NOW_MS = 10_000
OBJECTIVE_MS = 700.0
_EVICTABLE = Engine.evictable


def _request(ticket: str, adapter: str, tokens: int = 600, wait_ms: int = 4_000) -> PlaceRequest:
    name = AdapterName(MODEL, adapter)
    return PlaceRequest(ticket, "s", name, tokens, 60, (), 1, 500, wait_ms, "dc")


def _full_engines(rng: random.Random, clock: ManualClock) -> tuple[Placer, Demand]:
    """Engines whose slots are all taken, by adapters in different demand, with uneven work."""
    placer, demand = Placer(clock), Demand()
    for number in range(ENGINES):
        instance = f"e{number}"
        placer.engine_up(instance, "s", f"dc{number % 2}", SPEC)
        held = {AdapterName(MODEL, f"h{number}-{slot}"): 0 for slot in range(SLOTS)}
        for name in held:
            for _ in range(rng.randrange(4)):
                demand.note(name, clock.now_ms())
        placer.engine_reported(instance, EngineReport({MODEL: 1}, held, {}, 0))
        engine = placer.engines[instance]
        engine.speed.rescale(rng.choice((1.0, 1.0, 1.5, 4.0)), NOW_MS)
        for running in range(rng.randrange(14)):
            engine.start(_request(f"r{number}-{running}", "h"), ())
        if rng.random() < 0.1:
            engine.note_dropped(AdapterName(MODEL, f"h{number}-0"))
    return placer, demand


def _exhaustive(selector: EngineSelector, req: PlaceRequest) -> PlaceOption | None:
    options = [
        ((option.cost_ms, order), option)
        for _, order, engine in selector._load_options.by_cost(req.adapter)
        if (option := selector._option_with_load(req, engine, True, OBJECTIVE_MS)) is not None
    ]
    return min(options, key=lambda one: one[0])[1] if options else None


class LoadOptionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(NOW_MS)

    def test_the_choice_is_that_of_a_search_of_all_engines(self) -> None:
        """A bound that is not the least cost would leave cheaper engines untried."""
        rng = random.Random(3)
        for case in range(30):
            placer, demand = _full_engines(rng, self.clock)
            engines = placer.engines.values()
            selector = EngineSelector(list(engines), demand, WantedVersions(), NOW_MS)
            adapter = rng.choice(("new", f"h{rng.randrange(ENGINES)}-0"))
            req = _request("t", adapter, rng.choice((10, 600, 4_000)))
            for _ in range(4):
                with self.subTest(case):
                    found = selector._best_with_load(req, True, OBJECTIVE_MS)
                    self.assertEqual(found, _exhaustive(selector, req))
                    if found is not None:
                        found.engine.start(_request(f"n{rng.random()}", "new"), ())
                        selector.refresh(found.engine)

    def test_only_engines_that_may_be_cheapest_are_tried(self) -> None:
        placer, demand = _full_engines(random.Random(3), self.clock)
        for number, engine in enumerate(placer.engines.values()):
            engine.health.note_lag(200.0 * number, NOW_MS)
        selector = EngineSelector(list(placer.engines.values()), demand, WantedVersions(), NOW_MS)
        with mock.patch.object(Engine, "evictable", autospec=True) as looks:
            looks.side_effect = _EVICTABLE
            found = selector._best_with_load(_request("t", "new"), True, OBJECTIVE_MS)
            self.assertIsNotNone(found)
        self.assertLess(looks.call_count, ENGINES / 2)

    def test_a_request_whose_adapter_is_held_looks_at_its_holders_only(self) -> None:
        """Most requests do, and costs of all engines were most of a round's work."""
        placer, _ = _full_engines(random.Random(3), self.clock)
        holder = placer.engines["e7"]
        holder.running.clear()
        holder.speed.rescale(1 / holder.speed.usual, NOW_MS)
        placer.submit(_request("t", "h7-1"))
        with mock.patch.object(Engine, "prefill_wait_ms", autospec=True, return_value=0.0) as looks:
            self.assertEqual([one.instance for one in placer.decide()], ["e7"])
        self.assertLessEqual({call.args[0] for call in looks.call_args_list}, {holder})


class AwaitedLoadTest(unittest.TestCase):
    """A request that was assigned to an engine with a load of its adapter."""

    def setUp(self) -> None:
        self.clock = ManualClock(NOW_MS)
        self.placer = Placer(self.clock)
        self.placer.engine_up("e", "s", "dc", SPEC)
        self.placer.engine_reported("e", EngineReport({MODEL: 1}, {}, {}, 0))

    def _submit(self, wait_ms: int) -> LoadAdapter:
        self.placer.submit(_request("t", "a", wait_ms=wait_ms))
        (load,) = self.placer.decide()
        assert isinstance(load, LoadAdapter)
        return load

    def test_it_needs_no_decision_until_the_adapter_is_loaded(self) -> None:
        self.placer.table.note_taken(self._submit(wait_ms=4_000))
        with mock.patch("chestnutfall.placement.queue_rounds.EngineSelector") as made:
            for _ in range(5):
                self.clock._now_ms += 4
                self.assertEqual(list(self.placer.decide()), [])
            self.assertEqual(made.call_count, 0)
        self.clock._now_ms += 1_000
        self.assertIsInstance(next(iter(self.placer.decide())), Grant)

    def test_it_is_refused_when_its_time_is_over(self) -> None:
        """A load whose order hangs would otherwise hold the caller until it gives up."""
        self._submit(wait_ms=200)
        self.clock._now_ms += 200
        (refusal,) = self.placer.decide()
        self.assertIsInstance(refusal, Reject)

    def test_it_is_placed_anew_when_a_newer_version_is_named(self) -> None:
        self.placer.table.note_taken(self._submit(wait_ms=4_000))
        self.placer.name_version(AdapterName(MODEL, "a"), 7)
        self.clock._now_ms += 4
        self.assertEqual(list(self.placer.decide()), [])
        self.assertEqual([one.instance for one in self.placer._waiting], [""])
