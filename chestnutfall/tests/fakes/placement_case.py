"""Test case for placement alone: engines, requests and decisions, without a network."""

from __future__ import annotations

import unittest

from ...clock import ManualClock
from ...limits.limit_registry import LimitRegistry
from ...limits.messages import HeardLimit
from ...placement import (
    AdapterName,
    EngineReport,
    Grant,
    LoadAdapter,
    PlaceRequest,
    PromptPart,
    Reject,
    RunOutcome,
)
from ...placement.placer import Placer
from ...routes import EngineSpec, ModelSpec
from ...signals.backoff_registry import BackoffRegistry
from ...signals.messages import HeardBackoff

SPEC = EngineSpec(16, 1_000_000, (ModelSpec("base", 50),), 60, 4, 5)
STEP_MS = 8


class PlacementCase(unittest.TestCase):
    """Sets up a placer, and carries out its decisions in simulated time.

    Attributes
    ----------
    runs_on : bool
        Whether granted requests keep their places; otherwise each ends at once.
    granted : dict of str to str
        Engine by ticket.
    rejected : dict of str to Reject
        Refusal by ticket.
    loads : list of LoadAdapter
        Orders to load an adapter, oldest first.
    """

    def setUp(self) -> None:
        self.clock = ManualClock(60_000)
        self.limits = LimitRegistry(self.clock)
        self.backoffs = BackoffRegistry(self.clock)
        self.placer = Placer(self.clock, self.limits, self.backoffs)
        self.runs_on = False
        self.granted: dict[str, str] = {}
        self.rejected: dict[str, Reject] = {}
        self.loads: list[LoadAdapter] = []

    def _engine(self, name: str, *adapters: str, build: str = "") -> None:
        self.placer.engine_up(name, "s", "dc", SPEC, build)
        held = {AdapterName("base", adapter): 1 for adapter in adapters}
        self.placer.engine_reported(name, EngineReport({"base": 1}, held, {}, 0))

    def _limit(self, name: str, per_s: float | None) -> None:
        self.limits.update(HeardLimit(name, per_s, 0), counts_sends=True)
        self.placer.limit_changed(name)

    def _back_off(self, name: str, gateway: str, left_ms: int | None) -> None:
        self.backoffs.update(gateway, HeardBackoff(name, left_ms))

    def _submit(
        self,
        ticket: str,
        adapter: str,
        wait_ms: int = 4_000,
        build: str = "",
        parts: tuple[str, ...] = (),
    ) -> None:
        name = AdapterName("base", adapter)
        prompt = tuple(PromptPart(part, 10) for part in (*parts, ticket) if parts)
        req = PlaceRequest(ticket, "s", name, 100, 10, prompt, 1, 500, wait_ms, "dc")
        self.placer.submit(req, build)

    def _pass_ms(self, ms: int) -> None:
        for _ in range(ms // STEP_MS):
            self.clock._now_ms += STEP_MS
            for decision in self.placer.decide():
                match decision:
                    case Grant(ticket, instance):
                        self.granted[ticket] = instance
                        if not self.runs_on:
                            self.placer.release(ticket, RunOutcome.DONE)
                    case Reject(ticket):
                        self.rejected[ticket] = decision
                    case LoadAdapter():
                        self.loads.append(decision)
                        self.placer.table.note_taken(decision)
                    case _:
                        pass
