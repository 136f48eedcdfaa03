"""Placement with far more engines than one decision round can consider.

A request for an adapter that only one of a thousand engines holds must go to that engine, and the
leader must find it without evaluating the others.
"""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..placement import AdapterName, EngineReport, Grant, LoadAdapter, PlaceRequest
from ..placement.candidate_engines import SAMPLE_SIZE, SAMPLING_THRESHOLD, CandidateEngines
from ..placement.holder_index import HolderIndex
from ..placement.placer import Placer
from ..routes import EngineSpec, ModelSpec

SPEC = EngineSpec(8, 177_283, (ModelSpec("base", 50),), 66_000, 7, 27)
ENGINES = 1_000


def _name(adapter: str) -> AdapterName:
    return AdapterName("base", adapter)


def _request(ticket: str, adapter: str) -> PlaceRequest:
    return PlaceRequest(ticket, "s", _name(adapter), 600, 60, (), 0, 500, 4_000, "dc")


class CandidateEnginesTest(unittest.TestCase):
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

    # Guards against a new leader that considers only engines whose reports it has not read.
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

    def test_a_removed_engine_is_not_found(self) -> None:
        self.placer.engine_down("e5")
        self.placer.submit(_request("t", "a5"))
        loads = [one for one in self.placer.decide() if isinstance(one, LoadAdapter)]
        self.assertEqual(len(loads), 1)
        self.assertNotEqual(loads[0].instance, "e5")

    def test_few_engines_are_all_considered(self) -> None:
        engines = list(self.placer.engines.values())
        candidates = CandidateEngines(HolderIndex(self.placer.engines))
        few = engines[:SAMPLING_THRESHOLD]
        self.assertEqual(candidates.select(few, ()), few)
        self.assertEqual(len(candidates.select(engines, ())), SAMPLE_SIZE)
