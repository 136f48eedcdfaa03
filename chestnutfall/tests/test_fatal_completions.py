"""Completions that end every engine that runs them, through gateways of one office.

A planner's request ends the engine that runs it, is repeated on the next one, and is sent again by
its caller through another gateway, until nobody's drafts find an engine. Gateways remembered which
engines failed a request only until that request's own end, so each one began anew.
"""

from __future__ import annotations

import unittest

from soak.fatal_requests import ENDS_BEFORE_REFUSAL, LATER_ENDS

from ..requests import Executed, Refusal
from .fakes.fake_office import FakeGateway, FakeOffice

LEARN_MS = 3_000
BACK_MS = 2_500
"""Longer than an engine is gone, and than its owner takes to load an adapter again."""
TRIES = 9


class FatalCompletionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.office = FakeOffice()
        await self.office.start(gateways=3, engines=3)

    async def asyncTearDown(self) -> None:
        await self.office.stop()

    def _ends(self) -> int:
        return sum(engine.crashes for engine, _ in self.office.announced.values())

    async def _refused(self, gateway: FakeGateway) -> Refusal:
        with self.assertRaises(Refusal) as caught:
            await self.office.finish(gateway.answer(gateway.request("a1@1", "a fatal one")))
        await self.office.clock.advance(BACK_MS)
        return caught.exception

    async def test_no_gateway_sends_what_ended_three_engines(self) -> None:
        gateways = [self.office.gateway(number) for number in range(3)]
        while self._ends() < ENDS_BEFORE_REFUSAL:
            await self._refused(gateways[self._ends() % len(gateways)])
        await self.office.clock.advance(LEARN_MS)
        ends = self._ends()
        refusals = [await self._refused(gateways[at % len(gateways)]) for at in range(TRIES)]
        self.assertLessEqual(self._ends() - ends, LATER_ENDS)
        self.assertIs(refusals[-1].executed, Executed.NO)
        self.assertEqual(refusals[-1].status, 503)
        for gateway in gateways:
            answer = self.office.finish(gateway.answer(gateway.request("a1@1", "a usual one")))
            self.assertEqual((await answer)[-1], b"[DONE]")
