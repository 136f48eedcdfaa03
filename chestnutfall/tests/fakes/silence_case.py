"""Base of tests with upstreams that fall silent, behind the real forwarder."""

from __future__ import annotations

import asyncio
import random
import unittest

from ...clock import ManualClock
from ...control.crash_messages import CrashReport
from ...control.upstream_record import UpstreamRecord
from ...forwarding.admission import Admission
from ...forwarding.call import Call
from ...forwarding.forwarder import Forwarder
from ...forwarding.repeats import Repeats
from ...forwarding.sender import Sender
from ...forwarding.upstream_api import UpstreamApi
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
from .fake_upstreams import FixedRoutes, RecordedReply, ScriptedQuotaClient
from .limit_parts import known_signals
from .long_ago import LONG_AGO_MS
from .stream_origins import origins_of_one_build
from .timed_upstreams import Step, TimedSelector, TimedUpstreams

TIMEOUT_MS = 8_000
"""Time within which a call has its final answer."""
OBJECTIVE_MS = 500
PAUSE_MS = 80
"""Pause objective of streams."""
SILENT_MS = 300
"""Silence after which a call looks for another upstream: 0.6 of its objective."""
REQUESTS_IN_WINDOW = 1_000
"""Earlier requests, which give the service a budget."""


class SilenceCase(unittest.IsolatedAsyncioTestCase):
    """One gateway with upstreams `i0`, `i1` and so on, which `scripts` make answer.

    Attributes
    ----------
    attempts : int
        Upstreams that may run one call.
    resume_after : int or None
        Number of the last event that clients have.
    ended_addresses : set of str
        Addresses that refuse connections.
    check_ms : int
        How long the check of an address takes.
    """

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(1)
        self.attempts = 3
        self.resume_after: int | None = None
        self.reports: list[CrashReport] = []
        self.ended_addresses: set[str] = set()
        self.check_ms = 0
        self.parts: tuple[str, ...] = ()
        self.metrics = PrometheusMetrics()

    async def _refuses_connections(self, address: str) -> bool:
        if self.check_ms:
            await self.clock.sleep_ms(self.check_ms)
        return address in self.ended_addresses

    async def _borrow(self, service: str) -> bool:
        return False

    def _begin(
        self, *scripts: tuple[Step, ...], budget: bool = True, builds: tuple[str, ...] = ()
    ) -> None:
        """Make a gateway and one upstream for each script."""
        upstreams = [
            UpstreamRecord(f"i{at}", "s", f"127.0.0.1:{at + 1}", "dc", build=build)
            for at, build in enumerate(builds or ("",) * len(scripts))
        ]
        self.upstreams = TimedUpstreams(self.clock)
        self.api: UpstreamApi = self.upstreams
        self.upstreams.scripts = {f"i{at}": [script] for at, script in enumerate(scripts)}
        self.selector = TimedSelector(upstreams, self.clock)
        self.repeats = Repeats(
            RepeatBounds(0.2 if budget else 0.0, 0, 10_000),
            lambda: 1,
            self._borrow,
            self.clock,
            random.Random(0),
            LONG_AGO_MS,
        )
        self.repeats._budget("s")._rounding_offset = 0.0
        for _ in range(REQUESTS_IN_WINDOW):
            self.repeats.note_request("s")
        self.quarantine = RequestQuarantine(
            self.reports.append, self._refuses_connections, self.clock
        )
        self.signals = known_signals(self.clock)
        self.origins = origins_of_one_build(self.clock)
        self.forwarder = self._forwarder()

    def _forwarder(self) -> Forwarder:
        routes = tuple(
            Route(
                kind.value,
                "a.example",
                f"/{kind.value}/",
                kind,
                TIMEOUT_MS,
                OBJECTIVE_MS,
                1,
                (WeightedService("s", 1),),
                self.attempts,
                PAUSE_MS,
            )
            for kind in RouteKind
        )
        table = RouteTable(Document(1, routes, (ServiceSpec("s", None),), DocumentLimits()))
        quotas = QuotaEnforcer(
            ScriptedQuotaClient(), lambda: 1, STRICT_QUOTA_BOUNDS, self.clock, self.rng
        )
        return Forwarder(
            FixedRoutes(table, self.clock),
            Admission(quotas),
            self.repeats,
            self.selector,
            self.selector,
            Sender(self.api, self.signals, self.origins, self.clock, self.metrics, usual_memory()),
            self.signals,
            self.origins,
            self.quarantine,
            self.clock,
            self.metrics,
            self.rng,
        )

    def _new_call(self, kind: RouteKind, name: str = "id-1") -> Call:
        now_ms, path = self.clock.now_ms(), f"/{kind.value}/x"
        parts = tuple(PromptPart(one, 10) for one in self.parts)
        deadline_ms = now_ms + TIMEOUT_MS
        return Call(
            name,
            "POST",
            path,
            path,
            "a.example",
            (),
            b"",
            now_ms,
            deadline_ms,
            parts=parts,
            resume_after=self.resume_after,
        )

    def _call(
        self, kind: RouteKind, name: str = "id-1", reply: RecordedReply | None = None
    ) -> tuple[RecordedReply, asyncio.Task[None]]:
        """Begin a call; its reply fills as it is served."""
        reply = reply or RecordedReply()
        serving = self.forwarder.serve(self._new_call(kind, name), reply)
        return reply, asyncio.ensure_future(serving)

    async def _serve(self, kind: RouteKind, for_ms: int = TIMEOUT_MS) -> RecordedReply:
        """Serve one call for `for_ms`, and return what its client got until then."""
        reply, _ = self._call(kind)
        await self.clock.advance(for_ms)
        return reply

    def _repeats_left(self) -> int:
        """How many repeats the budget still has."""
        budget = self.repeats._budget("s")
        left = 0
        while budget.spend(1):
            left += 1
        return left
