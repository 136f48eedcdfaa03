"""What the leader learns of engines that are silent while their requests go on."""

from __future__ import annotations

import unittest

from .fakes.signal_office import PAUSE_MS
from .fakes.stream_office import StreamOffice

SILENT_MS = 3 * PAUSE_MS + 40
"""Longer than a sound engine of the office is silent, and shorter than the call's deadline."""


class SilentRunTest(unittest.IsolatedAsyncioTestCase):
    # Guards against requests for a hung engine until the first one that waits there has moved.
    async def test_the_leader_gives_a_silent_engine_less_while_its_request_goes_on(self) -> None:
        office = StreamOffice(1, ("v1",) * 4)
        await office.steps(100)
        office.apis["g0"].head_ms = 60_000
        office.begin("g0", "first")
        await office.steps(SILENT_MS)
        arrivals = [(one.arrivals[0], one) for one in office.upstreams.values() if one.arrivals]
        _, silent = min(arrivals, key=lambda one: one[0])
        leader = office.leader
        assert leader is not None
        engine = leader.placer.engines[silent.record.instance]
        self.assertTrue(engine.health.is_failing(office.clock.now_ms()))
        self.assertFalse(engine.health.is_ejected(office.clock.now_ms()))
        self.assertEqual(len(engine.running), 1)
