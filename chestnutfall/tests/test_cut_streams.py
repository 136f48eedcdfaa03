"""Streams whose engine can't be reached for some seconds, while it lives.

Guards against a stream that is broken off since a few connections don't open, and against one that
waits although its engine is known to have ended.
"""

from __future__ import annotations

import asyncio
import unittest

from ..requests import Executed, Refusal
from .fakes.fake_engine import FakeEngine
from .fakes.fake_office import FakeOffice

SILENT_MS = 1_000
"""Silence after which a service's connections count as dead, in the configuration of the office."""
CUTS_MS = (300, 1_000, 1_500, 5_000, 10_000)
KINDS: tuple[tuple[str, dict[str, str]], ...] = (
    ("a1@1", {}),
    ("once@1", {}),
    ("a1@1", {"Idempotency_Key": "key"}),
)
FOR_EVER_MS = 1_000_000
TIMEOUT_MS = 8_000
SOON_MS = 2_500
"""A silence, a resume, and the check of a port."""


class CutStreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.office = FakeOffice()
        await self.office.start(gateways=2, engines=1)
        self.gateway = self.office.gateway()
        # Loads the adapter.
        await self.office.finish(self.gateway.answer(self.gateway.request("a1@1")))

    async def asyncTearDown(self) -> None:
        await self.office.stop()

    @property
    def engine(self) -> FakeEngine:
        return self.office.engine()

    def _cut(self, ms: int) -> None:
        self.engine.cut_until_ms = self.office.clock.now_ms() + ms

    async def _begun(self, model: str = "a1@1", **headers: str) -> asyncio.Task[list[bytes]]:
        """Return a stream some of whose events have come."""
        before = len(self.engine.ran)
        req = self.gateway.request(model, **headers)
        task = asyncio.ensure_future(self.gateway.answer(req))
        while len(self.engine.ran) == before:
            self.assertFalse(task.done())
            await self.office.clock.advance(1)
        await self.office.clock.advance(25)
        self.assertFalse(task.done())
        return task

    async def _broken_after_ms(self, task: asyncio.Task[list[bytes]]) -> int:
        began_ms = self.office.clock.now_ms()
        with self.assertRaises(Refusal) as caught:
            await self.office.done(task)
        self.assertEqual((caught.exception.status, caught.exception.executed), (502, Executed.YES))
        return self.office.clock.now_ms() - began_ms

    async def test_a_stream_outlives_a_cut(self) -> None:
        for cut_ms in CUTS_MS:
            for number, (model, headers) in enumerate(KINDS):
                with self.subTest(cut_ms=cut_ms, kind=number):
                    headers = {name: f"{key}-{cut_ms}" for name, key in headers.items()}
                    self.engine.cut_until_ms = 0
                    await self.office.clock.advance(5_000)
                    runs = len(self.engine.ran)
                    task = await self._begun(model, **headers)
                    self._cut(cut_ms)
                    events = await self.office.done(task, 60_000)
                    self.assertEqual((len(events), events[-1]), (7, b"[DONE]"))
                    self.assertEqual(len(self.engine.ran), runs + 1)

    # Guards against a stream that is held for ever, or let go before its caller would.
    async def test_a_stream_of_a_host_that_vanished_ends_at_its_own_deadline(self) -> None:
        task = await self._begun(X_Timeout_Ms=str(TIMEOUT_MS))
        self._cut(FOR_EVER_MS)
        waited_ms = await self._broken_after_ms(task)
        self.assertTrue(TIMEOUT_MS <= waited_ms <= TIMEOUT_MS + 2 * SILENT_MS, waited_ms)

    # Guards against connections that are tried without a pause while a host is gone.
    async def test_an_engine_that_is_not_reached_is_tried_about_once_a_second(self) -> None:
        task = await self._begun(X_Timeout_Ms="60000")
        self._cut(FOR_EVER_MS)
        await self.office.clock.advance(30_000)
        self.assertFalse(task.done())
        self.assertTrue(20 <= self.engine.tries <= 40, self.engine.tries)
        task.cancel()

    async def test_a_stream_whose_engine_refuses_connections_ends_soon(self) -> None:
        task = await self._begun()
        self.engine.silent_until_ms = FOR_EVER_MS
        self.engine.reachable = False
        self.assertLess(await self._broken_after_ms(task), SOON_MS)

    # Guards against a wait for a process that another one has replaced, at another address.
    async def test_a_stream_whose_engine_began_anew_elsewhere_ends_soon(self) -> None:
        task = await self._begun()
        self._cut(FOR_EVER_MS)
        await self.office.clock.advance(2_000)
        self.assertFalse(task.done())
        began_anew = FakeEngine(self.office.clock)
        began_anew.incarnation = "second"
        self.office.engines.by_address["127.0.0.1:99"] = began_anew
        self.office.announced["engine-0"] = (began_anew, "serving")
        # The first one keeps its name until its announcement has expired.
        self.assertLess(await self._broken_after_ms(task), SOON_MS)
