"""Non-idempotent requests run at most once, whichever message or process is lost.

Guards against a second run when a caller repeats a request whose answer it did not get: through
another gateway, while the first run goes on, after a restart, or while no controller answers.
"""

from __future__ import annotations

import asyncio
import unittest

from ..control.commands import TakeClaim
from ..requests import Executed, Refusal
from .fakes.fake_office import FakeGateway, FakeOffice


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.office = FakeOffice()
        await self.office.start(gateways=3, engines=2)
        self.first, self.second = self.office.gateway(0), self.office.gateway(1)

    async def asyncTearDown(self) -> None:
        await self.office.stop()

    def _runs(self) -> int:
        return sum(len(engine.ran) for engine, _ in self.office.announced.values())

    async def _ask(self, gateway: FakeGateway, text: str = "roof") -> list[bytes]:
        req = gateway.request("once@1", text, Idempotency_Key="estimate-1")
        events: list[bytes] = await self.office.finish(gateway.answer(req))
        return events

    async def _refused(self, gateway: FakeGateway, text: str = "roof") -> Refusal:
        with self.assertRaises(Refusal) as caught:
            await self._ask(gateway, text)
        return caught.exception

    async def test_repeat_after_the_end_is_told_so(self) -> None:
        await self._ask(self.first)
        await self.office.clock.advance(200)
        refusal = await self._refused(self.second)
        self.assertEqual((refusal.status, refusal.code), (409, "request_done"))
        self.assertIs(refusal.executed, Executed.YES)
        self.assertEqual(self._runs(), 1)

    async def test_repeat_while_it_runs_is_told_so(self) -> None:
        req = self.first.request("once@1", "roof", Idempotency_Key="estimate-1")
        running = asyncio.ensure_future(self.first.answer(req))
        await self.office.clock.advance(100)
        refusal = await self._refused(self.second)
        self.assertEqual(refusal.code, "request_running")
        await self.office.clock.advance(3000)
        self.assertEqual((await self.office.done(running))[-1], b"[DONE]")
        self.assertEqual(self._runs(), 1)

    async def test_same_key_for_another_request_is_refused(self) -> None:
        await self._ask(self.first)
        refusal = await self._refused(self.second, "another roof")
        self.assertEqual((refusal.status, refusal.code), (409, "idempotency_key_reused"))
        self.assertIs(refusal.executed, Executed.NO)
        self.assertEqual(self._runs(), 1)

    async def test_repeat_after_the_gateway_died_is_told_that_nothing_is_known(self) -> None:
        # The gateway dies with the answer half sent, so the end of the run is unknown. A repeat
        # must neither run nor be told that the first run is still going on.
        for engine, _ in self.office.announced.values():
            engine.tokens = 100
        req = self.first.request("once@1", "roof", Idempotency_Key="estimate-1")
        running = asyncio.ensure_future(self.first.answer(req))
        await self.office.clock.advance(400)
        await self.first.kill()
        await self.office.clock.advance(4000)
        refusal = await self._refused(self.second)
        self.assertEqual(refusal.code, "request_state_unknown")
        self.assertIs(refusal.executed, Executed.UNKNOWN)
        self.assertEqual(self._runs(), 1)
        running.cancel()

    async def test_claim_is_still_there_when_all_controllers_restart(self) -> None:
        await self._ask(self.first)
        await self.office.clock.advance(200)
        cluster = self.office.control.cluster
        await cluster.crash("a")
        cluster.start("a")
        replica = await cluster.leader()
        claims = replica.machine.claims  # type: ignore[attr-defined]
        self.assertIn(("ana", "estimate-1"), claims)

    async def test_claim_is_kept_for_its_retention_and_not_for_ever(self) -> None:
        # A claim that is dropped too early lets a late repeat run; one that is never dropped leaks
        # memory.
        take = TakeClaim("ana", "old", "digest", "attempt", self.first.session, 100_000)
        await self.office.finish(self.first.client.ask(take, 5000))
        claims = self.office.control.state.claims
        for second in range(160):
            if second < 100:
                self.assertIn(("ana", "old"), claims)
            await self.office.clock.advance(1000)
        self.assertNotIn(("ana", "old"), claims)

    async def test_no_claim_no_run(self) -> None:
        # The controllers can't be reached. The caller learns at once that nothing ran and when to
        # retry; later the same request runs.
        self.first.client.cut = True
        refusal = await self._refused(self.first)
        self.assertEqual(refusal.code, "claim_unavailable")
        self.assertIs(refusal.executed, Executed.NO)
        self.assertGreater(refusal.retry_after_ms or 0, 0)
        self.assertEqual(self._runs(), 0)
        self.first.client.cut = False
        await self.office.clock.advance(1000)
        self.assertEqual((await self._ask(self.first))[-1], b"[DONE]")
        self.assertEqual(self._runs(), 1)

    async def test_claim_whose_answer_was_lost_is_released(self) -> None:
        # The claim is committed, but the answer never arrives, so the gateway runs nothing. The
        # caller learns this, and once the connection works again its repeat runs once.
        self.first.client.lose_answers = True
        refusal = await self._refused(self.first)
        self.assertIs(refusal.executed, Executed.NO)
        self.first.client.lose_answers = False
        await self.office.clock.advance(1000)
        await self._ask(self.second)
        self.assertEqual(self._runs(), 1)

    async def test_claim_of_a_request_that_found_no_engine_is_released(self) -> None:
        for engine, _ in self.office.announced.values():
            engine.reachable = False
        await self.office.clock.advance(3000)
        refusal = await self._refused(self.first)
        self.assertIs(refusal.executed, Executed.NO)
        for engine, _ in self.office.announced.values():
            engine.reachable = True
        await self.office.clock.advance(3000)
        await self._ask(self.second)
        self.assertEqual(self._runs(), 1)
