"""Requests that end every upstream that runs them, before the real programs.

Callers of quick estimates lose their answers in the middle, then are refused since most engines
are gone. One request ends the engine that runs it; its gateway resumes it on a second one; its
caller sends the same again, through another gateway, where nobody knows of it. Engines were
blamed for their ends and requests never: each call began anew, and one content ended 25 engines
in 12 s. What proved it: the same content in 16 calls at six gateways, on each engine that ended.
"""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
import unittest
from pathlib import Path

from soak.office import Office

from ..platform.standin.client import Seen, StandInClient
from ..platform.standin.operator import StandInOperator
from ..platform.standin.upstream import FATAL_BODY

ENDS_BEFORE_REFUSAL = 3
"""Two upstreams may end under one request by chance, one after the other; a third is no chance."""
LATER_RUNS = 3
"""What users allow beyond that, once every gateway has had time to learn of it."""
LEARN_S = 3.0
"""Time in which every gateway learns of it."""
ROUTES = {"long": b"stream", "again": b"lookup"}
TRIES = 12


class FatalRequestTest(unittest.TestCase):
    def test_no_gateway_sends_what_ended_three_upstreams(self) -> None:
        # The stand-ins' tracebacks of the connections that they break say nothing.
        logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
        with tempfile.TemporaryDirectory(prefix="fatal-") as folder:
            asyncio.run(self._play(Path(folder)))

    async def _play(self, folder: Path) -> None:
        rng = random.Random(3)
        self.office = Office(folder, rng)
        operator = StandInOperator(self.office.control_addresses, rng)
        self.client = StandInClient(rng)
        try:
            await self.office.start()
            while not await operator.put(1):
                await asyncio.sleep(0.1)
            await self._until_served()
            for route, name in ROUTES.items():
                with self.subTest(route):
                    await self._check(route, FATAL_BODY + name)
            await self._until_served()
        finally:
            await self.client.close()
            await operator.close()
            await self.office.stop()

    async def _check(self, route: str, content: bytes) -> None:
        while self.office.book.ends[content] < ENDS_BEFORE_REFUSAL:
            await self._send_everywhere(route, content)
        await asyncio.sleep(LEARN_S)
        ends = self.office.book.ends[content]
        seen: list[Seen] = []
        while len(seen) < TRIES:
            seen += await self._send_everywhere(route, content)
        self.assertLessEqual(self.office.book.ends[content] - ends, LATER_RUNS)
        refused = [one for one in seen if not self.office.book.runs[one.request_id]]
        self.assertEqual({one.status for one in refused}, {503})

    async def _send_everywhere(self, route: str, content: bytes) -> list[Seen]:
        """Send it once to each gateway, each time when upstreams are back."""
        seen = []
        for gateway in self.office.gateways:
            front = self.office.front(gateway)
            await self._until_one_served(front, route)
            seen.append(await self.client.send(front, route, content))
        return seen

    async def _until_served(self) -> None:
        """Wait until every gateway serves what ends nobody."""
        for gateway in self.office.gateways:
            for route in ("once", "again", "draft", "long"):
                await self._until_one_served(self.office.front(gateway), route)

    async def _until_one_served(self, front: str, route: str) -> None:
        for _ in range(100):
            if (await self.client.send(front, route)).status == 200:
                return
            await asyncio.sleep(0.1)
        self.fail(f"{route} is not served at {front}")
