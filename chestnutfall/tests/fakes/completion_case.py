"""Base of tests that send completions through the gateways of one site in turn."""

from __future__ import annotations

import asyncio
import unittest

from ...requests import Refusal
from .fake_office import FakeGateway, FakeOffice

PAUSE_MS = 20


class CompletionCase(unittest.IsolatedAsyncioTestCase):
    """Sends a steady load and counts the results.

    Attributes
    ----------
    asked, served : int
        Requests sent, and those that got a whole answer.
    refusals : list of Refusal
        Refusals of all other requests.
    refused_after_ms : list of int
        Time from each refused request to its refusal.
    """

    async def asyncSetUp(self) -> None:
        # In debug mode the event loop records the stack of every callback, which takes most of the
        # time here.
        asyncio.get_running_loop().set_debug(False)
        self.office = FakeOffice()
        self.refusals: list[Refusal] = []
        self.refused_after_ms: list[int] = []
        self.served = self.asked = 0
        self.calls: set[asyncio.Task[None]] = set()

    async def asyncTearDown(self) -> None:
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        await self.office.stop()

    async def _call(self, gateway: FakeGateway, adapter: str) -> None:
        self.asked += 1
        began_ms = self.office.clock.now_ms()
        try:
            await gateway.answer(gateway.request(adapter, "usual"))
            self.served += 1
        except Refusal as refusal:
            self.refusals.append(refusal)
            self.refused_after_ms.append(self.office.clock.now_ms() - began_ms)

    def _begin(self, number: int) -> None:
        gateway = self.office.gateway(number % len(self.office.gateways))
        if gateway.alive:
            call = asyncio.ensure_future(self._call(gateway, f"a{number % 2}@1"))
            self.calls.add(call)
            call.add_done_callback(self.calls.discard)

    async def _load(self, ms: int) -> None:
        for number in range(ms // PAUSE_MS):
            self._begin(number)
            await self.office.clock.advance(PAUSE_MS)
