"""One call through the real forwarder, before scripted places and upstreams."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import Any

from ...clock import ManualClock
from ...control.crash_messages import (
    CrashReport,
)
from ...forwarding.admission import Admission
from ...forwarding.call import Call
from ...forwarding.forwarder import Forwarder
from ...forwarding.repeats import Repeats
from ...forwarding.sender import Sender
from ...observability.histograms import Histograms
from ...quarantine import RequestQuarantine
from ...quota.quota_enforcer import QuotaEnforcer
from ...routes import (
    Document,
    DocumentLimits,
    Route,
    RouteKind,
    RouteTable,
    ServiceSpec,
    WeightedService,
)
from ...settings.quota_bounds import STRICT
from ...settings.repeat_bounds import RepeatBounds
from .fake_upstreams import (
    FixedRoutes,
    ListedPlaces,
    RecordedReply,
    ScriptedQuotaLine,
    ScriptedUpstreams,
)
from .limit_parts import known_signals


def event(number: int) -> bytes:
    """Event `number` of a streamed answer."""
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class ForwarderCase(unittest.IsolatedAsyncioTestCase):
    """What happens to the call, and when, is set before it is served."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.reply = RecordedReply()
        self.leaving = False
        self.routes_from_ms = 0
        self.same_place = False
        self.leader_gives = False
        self.has_other = True
        self.held_ms = 0.0
        self.while_placed = self.while_broken = self._nothing
        self.reports: list[CrashReport] = []
        self.quarantine = RequestQuarantine(
            self.reports.append, self._refuses_connections, self.clock
        )

    async def _refuses_connections(self, address: str) -> bool:
        return True

    def _nothing(self) -> None:
        """Nothing happens meanwhile."""

    async def _borrow(self, service: str) -> bool:
        return self.leader_gives

    def _quotas(self) -> QuotaEnforcer:
        self.line = ScriptedQuotaLine()
        return QuotaEnforcer(self.line, lambda: 1, STRICT, self.clock, self.rng)

    async def _serve(
        self, kind: RouteKind, script: tuple[Any, ...], attempts: int = 3, slack: float = 100
    ) -> ScriptedUpstreams:
        route = Route(
            "r", "a.example", "/a/", kind, 4000, 500, 1, (WeightedService("s", 1),), attempts, 300
        )
        services = (ServiceSpec("s", None),)
        table = RouteTable(Document(1, (route,), services, DocumentLimits()))
        self.upstreams = ScriptedUpstreams(*script)
        instances = (f"i{0 if self.same_place else at}" for at in range(len(script)))
        self.places = ListedPlaces(*instances)
        self.places.has_other = self.has_other
        self.places.held_ms = self.held_ms
        self.places.on_take = self.while_placed
        self.places.on_give_back = self.while_broken
        metrics = Histograms()
        self.signals = known_signals(self.clock)
        self.repeats = Repeats(
            RepeatBounds(0.2, slack, 10_000), lambda: 1, self._borrow, self.clock, self.rng
        )
        forwarder = Forwarder(
            FixedRoutes(table, self.clock, self.routes_from_ms),
            Admission(self._quotas()),
            self.repeats,
            self.places,
            self.places,
            Sender(self.upstreams, self.signals, self.clock, metrics),
            self.signals,
            self.quarantine,
            self.clock,
            metrics,
            self.rng,
        )
        call = Call("id-1", "POST", "/a/x", "/a/x", "a.example", (), b"", 0, 4000)
        if self.leaving:
            forwarder.refuse_new()
        served = asyncio.ensure_future(forwarder.serve(call, self.reply))
        for _ in range(self.routes_from_ms // 100 + 1):
            await self.clock.advance(100)
        await served
        return self.upstreams
