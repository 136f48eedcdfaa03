"""Upstreams that declare limits, with the programs run as processes."""

from __future__ import annotations

import asyncio
import time
import unittest

from ..platform.standin.limit_history import SETTLE_MS, LimitHistory
from ..platform.standin.operator import ENGINES, PLAIN
from ..platform.standin.upstream import StandInUpstream
from .office_scenario import OfficeScenario

CLIENTS = 12
LIMIT_PER_S = 12.0
LOAD_S = 9.0
MIN_USED = 0.5
"""Fraction that an upstream gets of its limit, or of an equal part of what callers ask for if that
is less. On a busy host each call takes longer, and callers in loops ask for less."""
ROUTES = {ENGINES: ("draft", "long"), PLAIN: ("again", "once")}


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
        limit = LIMIT_PER_S * (LOAD_S - SETTLE_MS / 1000)
        self.assertGreaterEqual(used, MIN_USED * min(limit, self._equal_part(upstream.service)))

    def _equal_part(self, service: str) -> float:
        """Return the requests to a service after `SETTLE_MS`, divided by its upstreams."""
        asked = sum(
            one.result.route in ROUTES[service]
            and one.sent_s * 1000 >= self.history.began_ms + SETTLE_MS
            for one in self.play.answers
        )
        self.assertGreater(asked, 0)
        return asked / sum(one.service == service for one in self.play.office.upstreams)
