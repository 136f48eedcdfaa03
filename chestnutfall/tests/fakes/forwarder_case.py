"""Base of tests that run one call through the real forwarder, with scripted upstreams."""

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
from ...observability.prometheus_metrics import PrometheusMetrics
from ...placement import PromptPart
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
from ...settings.quota_bounds import STRICT_QUOTA_BOUNDS
from ...settings.repeat_bounds import RepeatBounds
from .accounts import usual_memory
from .fake_upstreams import (
    FixedRoutes,
    ListedSelector,
    RecordedReply,
    ScriptedQuotaClient,
    ScriptedUpstreams,
)
from .limit_parts import known_signals
from .long_ago import LONG_AGO_MS
from .stream_origins import origins_of_one_build


def event(number: int) -> bytes:
    """Event `number` of a streamed answer."""
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class ForwarderCase(unittest.IsolatedAsyncioTestCase):
    """Serves one call; attributes set before `_serve` decide what happens to it.

    Attributes
    ----------
    leaving : bool
        Whether the gateway refuses new calls.
    routes_from_ms : int
        Clock time at which the first document arrives.
    same_instance : bool
        Whether the selector returns the same instance for all sends.
    leader_grants_repeats : bool
        Whether the leader gives repeats.
    has_other : bool
        Whether each selected place reports another usable upstream.
    held_back_for_ms : float
        Time for which all upstreams back off; 0 for none.
    on_selected, on_released : callable
        Called when an upstream is selected or released.
    reports : list of CrashReport
        Crash reports of the gateway.
    parts : tuple of str
        Ids of the parts of the prompt.
    """

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.reply = RecordedReply()
        self.leaving = False
        self.routes_from_ms = 0
        self.same_instance = False
        self.leader_grants_repeats = False
        self.has_other = True
        self.held_back_for_ms = 0.0
        self.on_selected = self.on_released = self._nothing
        self.parts: tuple[str, ...] = ()
        self.reports: list[CrashReport] = []
        self.quarantine = RequestQuarantine(
            self.reports.append, self._refuses_connections, self.clock
        )

    async def _refuses_connections(self, address: str) -> bool:
        return True

    def _nothing(self) -> None:
        """Default for `on_selected` and `on_released`."""

    async def _borrow(self, service: str) -> bool:
        return self.leader_grants_repeats

    def _quotas(self) -> QuotaEnforcer:
        self.quota_client = ScriptedQuotaClient()
        return QuotaEnforcer(
            self.quota_client, lambda: 1, STRICT_QUOTA_BOUNDS, self.clock, self.rng
        )

    async def _serve(
        self, kind: RouteKind, script: tuple[Any, ...], attempts: int = 3, slack: float = 100
    ) -> ScriptedUpstreams:
        route = Route(
            "r", "a.example", "/a/", kind, 4000, 500, 1, (WeightedService("s", 1),), attempts, 300
        )
        services = (ServiceSpec("s", None),)
        table = RouteTable(Document(1, (route,), services, DocumentLimits()))
        self.upstreams = ScriptedUpstreams(*script)
        instances = (f"i{0 if self.same_instance else at}" for at in range(len(script)))
        self.selector = ListedSelector(*instances)
        self.selector.has_other = self.has_other
        self.selector.held_back_for_ms = self.held_back_for_ms
        self.selector.on_select = self.on_selected
        self.selector.on_release = self.on_released
        metrics = PrometheusMetrics()
        self.signals = known_signals(self.clock)
        self.repeats = Repeats(
            RepeatBounds(0.2, slack, 10_000),
            lambda: 1,
            self._borrow,
            self.clock,
            self.rng,
            LONG_AGO_MS,
        )
        origins = origins_of_one_build(self.clock)
        forwarder = Forwarder(
            FixedRoutes(table, self.clock, self.routes_from_ms),
            Admission(self._quotas()),
            self.repeats,
            self.selector,
            self.selector,
            Sender(self.upstreams, self.signals, origins, self.clock, metrics, usual_memory()),
            self.signals,
            origins,
            self.quarantine,
            self.clock,
            metrics,
            self.rng,
        )
        parts = tuple(PromptPart(name, 10) for name in self.parts)
        call = Call("id-1", "POST", "/a/x", "/a/x", "a.example", (), b"", 0, 4000, parts=parts)
        if self.leaving:
            forwarder.refuse_new()
        served = asyncio.ensure_future(forwarder.serve(call, self.reply))
        for _ in range(self.routes_from_ms // 100 + 1):
            await self.clock.advance(100)
        await served
        return self.upstreams
