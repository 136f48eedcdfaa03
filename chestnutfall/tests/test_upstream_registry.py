"""Upstreams that a gateway knows, and which of them accept work."""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..membership.announcement import Announcement
from ..membership.upstream_registry import UpstreamRegistry

TTL_MS = 1_000


class UpstreamRegistryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.registry = UpstreamRegistry(self.clock)

    # Guards against work for an engine that ended without a word: its announcement is its only
    # sign of life, and calls sent there wait until they time out.
    async def test_an_upstream_whose_announcement_expired_accepts_no_work(self) -> None:
        announcement = Announcement("e1", "redactor", "a", "127.0.0.1:9000", "1", TTL_MS)
        self.assertIsNone(self.registry.register(announcement))
        await self.clock.advance(TTL_MS - 1)
        self.assertEqual([one.name for one in self.registry.serving()], ["e1"])
        await self.clock.advance(1)
        self.assertEqual(list(self.registry.serving()), [])
        self.assertFalse(self.registry.takes_work("e1"))
