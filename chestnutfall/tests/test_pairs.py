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
from ..coordination.link_directory import SEND_INTERVAL_MS
from ..forwarding.upstream_api import NotSent
from ..paths.known_helpers import KnownHelpers
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

    # Guards against calls that are lost, or run twice, while a leader that knows of no link begins.
    async def test_a_new_leader_names_helpers_by_upstream_at_once(self) -> None:
        office = PathOffice(9, self.clock, UPSTREAMS)
        office.cut = draw_pairs(office, 0.8, self.rng)
        await self._play(office)
        office.begin_leader()
        for gateway in office.gateways:
            gateway.helpers = KnownHelpers(self.clock, random.Random(gateway.number))
            gateway.api._helpers = gateway.helpers
        office.name_helpers()
        await self.clock.advance(SEND_INTERVAL_MS)
        office.step()
        for at, one in enumerate(office.gateways):
            for upstream in office.upstreams:
                named = one.helpers.candidates(upstream.instance)
                if (at, upstream.instance) in office.cut:
                    reached = [office.reaches(int(name), upstream.address) for name in named]
                    self.assertIn(True, reached)
        self.assertEqual(set(office.runs.values()), {1})

    # Guards against a gateway that starts while its links are cut and refuses its first calls.
    async def test_a_gateway_that_restarts_while_cut_is_served(self) -> None:
        office = PathOffice(9, self.clock, UPSTREAMS)
        office.cut = draw_pairs(office, 0.8, self.rng)
        await self._play(office)
        office.restart(0)
        self.sent.clear(), self.served.clear()
        await self._play(office)
        self._check(9)

    # Guards against helpers that are named by links of a second ago while links come and go.
    async def test_calls_are_served_while_pairs_are_drawn_anew(self) -> None:
        office = PathOffice(9, self.clock, UPSTREAMS)
        for _ in range(3):
            office.cut = draw_pairs(office, 0.6, self.rng)
            self.sent.clear(), self.served.clear()
            await self._play(office)
            self._check(9)

    # Guards against gateways that stay on helpers, or are helped with less, after their links are
    # back: no call may ever try a link that placement avoids.
    async def test_links_that_are_back_are_found_without_calls(self) -> None:
        office = PathOffice(9, self.clock, UPSTREAMS)
        office.cut = draw_pairs(office, 0.8, self.rng)
        await self._play(office)
        office.join()
        await self.clock.advance(1_000)
        office.step()
        self.assertEqual([len(one.paths) for one in office.gateways], [0] * 9)
        self.assertEqual(office.links.cut_links, 0)
        opened, helped = office.opened, office.helped_sends
        await self._play(office)
        self.assertEqual((office.opened, office.helped_sends), (opened, helped))

    # Guards against reports, messages, connections and probes while all links hold.
    async def test_nothing_is_sent_or_opened_while_no_link_is_cut(self) -> None:
        office = PathOffice(9, self.clock, UPSTREAMS)
        await self._play(office)
        self.assertEqual((office.reports, office.opened, office.helped_sends), (0, 0, 0))
        self.assertEqual(office.named, 0)

    # Guards against calls that wait for one helper after another with an upstream that no gateway
    # reaches, and against callers who come back to it before it is.
    async def test_an_upstream_that_no_gateway_reaches_is_refused_at_once(self) -> None:
        office = PathOffice(9, self.clock, UPSTREAMS)
        office.hanging_ms = CONNECT_MS
        lost = office.upstreams[0]
        office.cut = {(at, lost.instance) for at in range(9)}
        await self._play(office)
        began_ms, helped = self.clock.now_ms(), office.helped_sends
        for gateway in office.gateways:
            self.assertFalse(gateway.api.reaches_any([lost]))
            with self.assertRaises(NotSent):
                await gateway.send(send_to(lost))
        self.assertEqual((self.clock.now_ms(), office.helped_sends), (began_ms, helped))
        office.join()
        await self.clock.advance(1_000)
        self.assertTrue(office.gateways[0].api.reaches_any([lost]))

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
