"""Placing requests where there are far more engines than one round can look at.

A storm week in all districts: a request for an adapter that one engine of a thousand holds must go
to that engine, and the leader must find it without looking at the other ones.
"""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..placement import AdapterName, EngineReport, Grant, LoadAdapter, PlaceRequest
from ..placement.holder_index import HolderIndex
from ..placement.placer import Placer
from ..placement.weighed_engines import DRAWN, MOST_WEIGHED, WeighedEngines
from ..routes import EngineSpec, ModelSpec

SPEC = EngineSpec(8, 177_283, (ModelSpec("base", 50),), 66_000, 7, 27)
ENGINES = 1_000


def _name(adapter: str) -> AdapterName:
    return AdapterName("base", adapter)


def _request(ticket: str, adapter: str) -> PlaceRequest:
    return PlaceRequest(ticket, "s", _name(adapter), 600, 60, (), 0, 500, 4_000, "dc")


class WeighedEnginesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.placer = Placer(self.clock)
        for at in range(ENGINES):
            self.placer.engine_up(f"e{at}", "s", "dc", SPEC)
            report = EngineReport({"base": 1}, {_name(f"a{at}"): 1}, {}, 0)
            self.placer.engine_reported(f"e{at}", report)

    def test_the_one_engine_that_holds_the_adapter_is_found(self) -> None:
        for at in (0, 499, 999):
            self.placer.submit(_request(f"t{at}", f"a{at}"))
            decisions = list(self.placer.decide())
            granted = [one.instance for one in decisions if isinstance(one, Grant)]
            self.assertEqual(granted, [f"e{at}"])

    # Guards against a new leader that looks only at engines which it knows nothing of yet.
    def test_a_new_leader_uses_the_engines_whose_reports_it_has(self) -> None:
        for reports in (5, 60, 200):
            with self.subTest(reports):
                placer = Placer(self.clock)
                for at in range(ENGINES):
                    placer.engine_up(f"e{at}", "s", "dc", SPEC)
                for at in range(reports):
                    report = EngineReport({"base": 1}, {}, {}, 0)
                    placer.engine_reported(f"e{at * 5}", report)
                placer.submit(_request("t", "rare"))
                loads = [one for one in placer.decide() if isinstance(one, LoadAdapter)]
                self.assertEqual(len(loads), 1)

    def test_a_load_that_has_just_begun_is_not_begun_again(self) -> None:
        for ticket in ("t1", "t2", "t3"):
            self.placer.submit(_request(ticket, "wanted"))
        loads = [one for one in self.placer.decide() if isinstance(one, LoadAdapter)]
        self.placer.submit(_request("t4", "wanted"))
        loads += [one for one in self.placer.decide() if isinstance(one, LoadAdapter)]
        self.assertEqual(len(loads), 1)

    def test_an_engine_that_is_gone_is_not_found_any_more(self) -> None:
        self.placer.engine_down("e5")
        self.placer.submit(_request("t", "a5"))
        loads = [one for one in self.placer.decide() if isinstance(one, LoadAdapter)]
        self.assertEqual(len(loads), 1)
        self.assertNotEqual(loads[0].instance, "e5")

    def test_few_engines_are_all_looked_at(self) -> None:
        engines = list(self.placer.engines.values())
        weighed = WeighedEngines(HolderIndex(self.placer.engines))
        few = engines[:MOST_WEIGHED]
        self.assertEqual(weighed.of(few, ()), few)
        self.assertEqual(len(weighed.of(engines, ())), DRAWN)
