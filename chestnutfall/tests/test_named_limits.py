"""Upstreams that say how many requests a second they take, before the real programs."""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
import time
import unittest
from pathlib import Path

from soak.office import Office

from ..platform.standin.client import StandInClient
from ..platform.standin.limit_history import SETTLE_MS, LimitHistory
from ..platform.standin.operator import ENGINES, PLAIN, StandInOperator
from ..platform.standin.upstream import StandInUpstream

CLIENTS = 12
LIMIT_PER_S = 12.0
BEFORE_S = 3.0
PLAYED_S = 9.0
LEAST_PART = 0.5
"""Of what a limit allows, while callers ask for far more; the rest is what a slow machine costs."""


class NamedLimitTest(unittest.TestCase):
    # Guards against upstreams that name a limit and get as many requests as before.
    def test_upstreams_get_what_they_say_they_take(self) -> None:
        logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
        with tempfile.TemporaryDirectory(prefix="limits-") as folder:
            asyncio.run(self._play(Path(folder)))

    async def _play(self, folder: Path) -> None:
        rng = random.Random(4)
        self.office = Office(folder, rng)
        operator = StandInOperator(self.office.control_addresses, rng)
        client = StandInClient(rng)
        try:
            await self.office.start()
            while not await operator.put(1):
                await asyncio.sleep(0.1)
            load = [asyncio.ensure_future(self._load(client, rng)) for _ in range(CLIENTS)]
            await asyncio.sleep(BEFORE_S)
            limited = [self._first(ENGINES), self._first(PLAIN)]
            for upstream in limited:
                upstream.limit = f"{LIMIT_PER_S}"
            self.history = LimitHistory()
            self.history.name(time.monotonic() * 1000, LIMIT_PER_S)
            await asyncio.sleep(PLAYED_S)
            for task in load:
                task.cancel()
            for upstream in limited:
                with self.subTest(upstream.service):
                    self._check(upstream)
        finally:
            await client.close()
            await operator.close()
            await self.office.stop()

    def _first(self, service: str) -> StandInUpstream:
        return next(one for one in self.office.upstreams if one.service == service)

    async def _load(self, client: StandInClient, rng: random.Random) -> None:
        while True:
            gateway = self.office.front(rng.choice(self.office.gateways))
            await client.send(gateway, rng.choice(("draft", "long", "again", "once")))
            await asyncio.sleep(rng.uniform(0.0, 0.04))

    def _check(self, upstream: StandInUpstream) -> None:
        moments = [at_s * 1000 for at_s in self.office.book.arrivals[upstream.instance]]
        self.assertEqual(list(self.history.excesses(moments)), [])
        used = sum(at_ms >= self.history.began_ms + SETTLE_MS for at_ms in moments)
        self.assertGreaterEqual(used, LEAST_PART * LIMIT_PER_S * (PLAYED_S - SETTLE_MS / 1000))
