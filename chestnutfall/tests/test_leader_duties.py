"""Periodic work of the leading controller on the product's own interface."""

from __future__ import annotations

import asyncio
import unittest

from ..config.layered_config import BASE_LAYER
from ..control.messages import EngineSeen, Heartbeat
from .fakes.fake_control import FakeControl

SERVICE = {"kind": "engine", "announce_key_sha256": "0" * 64}


class OwnersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.control = FakeControl(1)
        await self.control.start()

    async def asyncTearDown(self) -> None:
        await self.control.stop()

    # Guards against engines that no gateway owns, and that so load no adapter, because their
    # service is configured in another data centre than the first one.
    async def test_an_engine_of_any_data_centre_gets_an_owner(self) -> None:
        for data_centre in ("first", "second"):
            service = {f"site:{data_centre}": {"services": {f"redactor-{data_centre}": SERVICE}}}
            await self.control.change({BASE_LAYER: {"sites": {data_centre: {}}}, **service})
        seen = tuple(EngineSeen(f"e-{one}", "1", f"redactor-{one}") for one in ("first", "second"))
        heartbeat = Heartbeat("g1#1", "127.0.0.1:9000", "second", -1, "", seen, (), False, "")
        task = asyncio.ensure_future(self.control.service.handle(heartbeat))
        await self.control.clock.advance(1_000)
        await task
        self.assertEqual(sorted(self.control.state.owners), ["e-first", "e-second"])
