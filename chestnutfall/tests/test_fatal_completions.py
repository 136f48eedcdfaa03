"""Completions that end every engine that runs them, sent through several gateways.

A request ends the engine that runs it, is repeated on the next one, and is sent again by its caller
through another gateway, until no engine is left for other callers. A gateway remembers the engines
that failed a request only until the request ends, so without a shared record each attempt would
start anew.
"""

from __future__ import annotations

import unittest

from soak.fatal_requests import ENDS_BEFORE_REFUSAL, MAX_LATER_ENDS

from ..requests import Executed, Refusal
from .fakes.fake_office import FakeGateway, FakeOffice

PROPAGATION_MS = 3_000
RECOVERY_MS = 2_500
"""Longer than an engine takes to restart, and its owner to load an adapter again."""
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
        await self.office.clock.advance(RECOVERY_MS)
        return caught.exception

    async def test_no_gateway_sends_what_ended_three_engines(self) -> None:
        gateways = [self.office.gateway(number) for number in range(3)]
        while self._ends() < ENDS_BEFORE_REFUSAL:
            await self._refused(gateways[self._ends() % len(gateways)])
        await self.office.clock.advance(PROPAGATION_MS)
        ends = self._ends()
        refusals = [
            await self._refused(gateways[attempt % len(gateways)]) for attempt in range(TRIES)
        ]
        self.assertLessEqual(self._ends() - ends, MAX_LATER_ENDS)
        self.assertIs(refusals[-1].executed, Executed.NO)
        self.assertEqual(refusals[-1].status, 503)
        for gateway in gateways:
            answer = self.office.finish(gateway.answer(gateway.request("a1@1", "a usual one")))
            self.assertEqual((await answer)[-1], b"[DONE]")
