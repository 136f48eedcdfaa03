"""The rate of a caller of the OpenAI dialect, over all gateways together.

A caller with a rate of a hundred requests per second spreads them over all gateways. If each
gateway enforced the rate on its own, the caller would get it once per gateway. Counted by the
leader, it gets its rate once, through whichever gateways it sends, also while there is no leader.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace
from typing import Any, cast

from ..caller_edge import CallerLimits, ControlQuotaClient
from ..clock import ManualClock
from ..config.caller import Caller
from ..control.caller_quotas import CallerQuotas
from ..control.control_client import ControlClient, NoController
from ..control.control_state import ControlState
from ..quota.messages import AskQuota
from ..quota.quota_enforcer import QuotaEnforcer
from ..requests import Executed, Refusal
from ..settings.quota_bounds import CALLER_QUOTA_BOUNDS

GATEWAYS = 9
PER_S = 100.0
CALLER = Caller("0" * 64, rate_per_s=PER_S, concurrency=4)


class _Client:
    """A control client that passes messages to the leader's quotas, or fails without a leader."""

    def __init__(self, quotas: CallerQuotas) -> None:
        self.quotas: CallerQuotas | None = quotas

    async def ask(self, msg: Any, within_ms: float) -> Any:
        if self.quotas is None:
            raise NoController("none")
        return self.quotas.ask(msg) if isinstance(msg, AskQuota) else self.quotas.record_use(msg)


class CallerQuotasTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        raw = {"key_sha256": "0" * 64, "rate_per_s": PER_S}
        sites = {"north": SimpleNamespace(entries={"callers": {"agency": raw}})}
        self.state = cast(ControlState, SimpleNamespace(revision=1, sites=sites))
        self.client = _Client(CallerQuotas(self.state, self.clock))
        self.gateways = [self._gateway() for _ in range(GATEWAYS)]
        self.passed: list[int] = []

    def _gateway(self) -> tuple[CallerLimits, QuotaEnforcer]:
        quota_client = ControlQuotaClient(cast(ControlClient, self.client), self.clock)
        enforcer = QuotaEnforcer(
            quota_client, lambda: GATEWAYS, CALLER_QUOTA_BOUNDS, self.clock, random.Random(1)
        )
        quota_client.on_quotas = enforcer.apply
        return CallerLimits(enforcer, self.clock), enforcer

    async def _request(self, gateway: int) -> str:
        try:
            async with self.gateways[gateway][0].admitted("agency", CALLER):
                self.passed.append(self.clock.now_ms())
                return "passed"
        except Refusal as refusal:
            return refusal.code

    async def _send(self, seconds: float, a_second: int) -> None:
        for step in range(int(seconds * 100)):
            for at in range(a_second // 100):
                await self._request((step + 5 * at) % GATEWAYS)
            await self.clock.advance(10)
            if step % 20 == 0:
                for _, enforcer in self.gateways:
                    enforcer.report_use()
            await self.clock.advance(0)

    def _most_in_window(self) -> int:
        window = CALLER_QUOTA_BOUNDS.window_ms
        return max(sum(at <= one < at + window for one in self.passed) for at in self.passed)

    async def test_all_gateways_together_let_through_the_rate_of_one(self) -> None:
        await self._send(1, 100)
        await self._send(12, 900)
        bound = (PER_S * CALLER_QUOTA_BOUNDS.window_ms / 1000 + PER_S) * (
            1 + CALLER_QUOTA_BOUNDS.excess_ratio
        )
        self.assertLessEqual(self._most_in_window(), bound)
        self.assertGreaterEqual(len(self.passed), 0.95 * 13 * PER_S)

    async def test_requests_within_the_rate_pass_at_any_gateway(self) -> None:
        await self._send(1, 0)
        await self._send(10, 100)
        self.assertGreaterEqual(len(self.passed), 0.99 * 10 * PER_S)

    async def test_a_missing_controller_is_not_reported_as_a_used_up_rate(self) -> None:
        await self._send(1, 900)
        self.client.quotas = None
        asking = [asyncio.ensure_future(self._request(at % GATEWAYS)) for at in range(18)]
        for _ in range(60):
            await self.clock.advance(20)
        answers = {one.result() for one in asking}
        self.assertIn("rate_unknown", answers)
        self.assertNotIn("rate_limited", answers)

    async def test_a_request_that_was_not_run_gives_its_unit_back(self) -> None:
        limits, enforcer = self.gateways[0]
        with self.assertRaises(Refusal):
            async with limits.admitted("agency", CALLER):
                raise Refusal(503, "no_engine", "none", Executed.NO)
        self.assertEqual(enforcer._unreported.get("agency", 0.0), 0.0)

    async def test_concurrent_requests_are_bounded_at_each_gateway(self) -> None:
        limits, _ = self.gateways[0]
        held = [limits.admitted("agency", CALLER) for _ in range(CALLER.concurrency)]
        for one in held:
            await one.__aenter__()
        self.assertEqual(await self._request(0), "concurrency_limited")
        self.assertEqual(await self._request(1), "passed")
        for one in held:
            await one.__aexit__(None, None, None)
        self.assertEqual(await self._request(0), "passed")
