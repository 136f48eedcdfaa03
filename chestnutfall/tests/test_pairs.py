"""Links between gateways and upstreams that are cut pair by pair, without a network.

Each upstream is reached by some gateway, so every call can be sent on, if the helper that is asked
is one that reaches the upstream in question.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import unittest
from collections import Counter

from ..clock import ManualClock
from ..forwarding.upstream_api import NotSent
from .fakes.path_office import PathOffice, draw_pairs, send_to

CONNECT_MS = 150
STEP_MS = 50
SETTLED_MS = 3_000
LENGTH_MS = 6_000
UPSTREAMS = 20
MIN_SHARE = 0.9
MAX_WAIT_MS = CONNECT_MS


class DrawnPairsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.rng = random.Random(7)
        self.sent: Counter[int] = Counter()
        self.served: Counter[int] = Counter()
        self.waits_ms: list[int] = []
        self.tasks: set[asyncio.Task[None]] = set()

    # Guards against calls that are refused though another gateway reaches the upstream: helpers
    # were chosen by how many upstreams they reach, and asked whether or not they reach this one.
    async def test_calls_go_through_a_gateway_that_reaches_the_upstream(self) -> None:
        for gateways, share, hanging_ms in (
            (9, 0.5, 0),
            (9, 0.8, 0),
            (9, 0.8, CONNECT_MS),
            (9, 0.9, CONNECT_MS),
            (30, 0.9, 0),
        ):
            with self.subTest(gateways=gateways, share=share, hanging_ms=hanging_ms):
                self.setUp()
                office = PathOffice(gateways, self.clock, upstreams=UPSTREAMS)
                office.hanging_ms = hanging_ms
                office.cut = draw_pairs(office, share, self.rng)
                await self._play(office)
                self._check(gateways)

    async def _play(self, office: PathOffice) -> None:
        number = 0
        for passed_ms in range(0, LENGTH_MS, STEP_MS):
            for at in range(len(office.gateways)):
                number += 1
                task = asyncio.ensure_future(
                    self._send(office, at, number, passed_ms >= SETTLED_MS)
                )
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await self.clock.advance(STEP_MS)
            office.step()
        while self.tasks:
            await self.clock.advance(STEP_MS)

    async def _send(self, office: PathOffice, at: int, number: int, counts: bool) -> None:
        began_ms = self.clock.now_ms()
        self.sent[at] += counts
        try:
            await office.gateways[at].send(send_to(self.rng.choice(office.upstreams), number))
        except NotSent:
            return
        self.served[at] += counts
        if counts:
            self.waits_ms.append(self.clock.now_ms() - began_ms)

    def _check(self, gateways: int) -> None:
        shares = [self.served[at] / self.sent[at] for at in range(gateways)]
        median = statistics.median(shares)
        self.assertGreaterEqual(median, MIN_SHARE)
        self.assertGreaterEqual(min(shares), MIN_SHARE * median, shares)
        self.assertLessEqual(statistics.quantiles(self.waits_ms, n=20)[-1], MAX_WAIT_MS)
