"""Upstreams that declare limits, with the programs run as processes."""

from __future__ import annotations

import asyncio
import time
import unittest

from ..platform.standin.limit_history import SETTLE_MS, LimitHistory
from ..platform.standin.upstream import StandInUpstream
from .office_scenario import OfficeScenario

CLIENTS = 12
LIMIT_PER_S = 12.0
LOAD_S = 9.0
MIN_USED = 0.5
"""Fraction of a limit that is used while callers ask for far more; a slow machine uses less."""


class NamedLimitTest(unittest.TestCase):
    # Guards against upstreams that declare a limit and receive as many requests as before.
    def test_upstreams_receive_up_to_their_declared_limit(self) -> None:
        self.play = OfficeScenario(seed=4, callers=CLIENTS)
        asyncio.run(self.play.run(self._script))
        for upstream in self.play.engine_and_plain():
            with self.subTest(upstream.service):
                self._check(upstream)

    async def _script(self, play: OfficeScenario) -> None:
        for upstream in play.engine_and_plain():
            upstream.limit = f"{LIMIT_PER_S}"
        self.history = LimitHistory()
        self.history.note_limit(time.monotonic() * 1000, LIMIT_PER_S)
        await asyncio.sleep(LOAD_S)

    def _check(self, upstream: StandInUpstream) -> None:
        arrivals = self.play.office.run_registry.arrival_times_s[upstream.instance]
        moments = [at_s * 1000 for at_s in arrivals]
        self.assertEqual(list(self.history.excesses(moments)), [])
        used = sum(at_ms >= self.history.began_ms + SETTLE_MS for at_ms in moments)
        self.assertGreaterEqual(used, MIN_USED * LIMIT_PER_S * (LOAD_S - SETTLE_MS / 1000))
