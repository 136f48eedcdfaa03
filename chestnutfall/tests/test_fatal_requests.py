"""Requests that end every upstream that runs them, with the real programs.

A request ends the engine that runs it, its gateway resumes it on a second one, and its caller sends
the same content again through another gateway, which does not know of the earlier ends. Other
callers lose their answers, or are refused since most engines are down. Without a record of such
requests that all gateways share, one content in 16 calls at six gateways ended 25 engines in 12 s.
"""

from __future__ import annotations

import asyncio
import logging
import random
import tempfile
import unittest
from pathlib import Path

from soak.fatal_requests import CONTENTS, MAX_LATER_ENDS, FatalRequests
from soak.office import Office

from ..platform.standin.client import ClientResult, StandInClient
from ..platform.standin.operator import StandInOperator

TRIES = 12


class FatalRequestTest(unittest.TestCase):
    def test_no_gateway_sends_what_ended_three_upstreams(self) -> None:
        # The stand-ins abort connections, and aiohttp would log a traceback for each.
        logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
        with tempfile.TemporaryDirectory(prefix="fatal-") as folder:
            asyncio.run(self._run(Path(folder)))

    async def _run(self, folder: Path) -> None:
        rng = random.Random(3)
        self.office = Office(folder, rng)
        operator = StandInOperator(self.office.control_addresses, rng)
        client = StandInClient(rng)
        self.fatal = FatalRequests(self.office, client)
        try:
            await self.office.start()
            while not await operator.put(1):
                await asyncio.sleep(0.1)
            await self._until_served()
            for route in CONTENTS:
                with self.subTest(route):
                    await self._check(route)
            await self._until_served()
        finally:
            await client.close()
            await operator.close()
            await self.office.stop()

    async def _check(self, route: str) -> None:
        ends = await self.fatal.send_until_quarantined(route)
        seen: list[ClientResult] = []
        while len(seen) < TRIES:
            seen += await self.fatal.send_to_each_gateway(route)
        self.assertLessEqual(self.fatal.ends(route) - ends, MAX_LATER_ENDS)
        refused = [one for one in seen if not self.office.run_registry.runs[one.request_id]]
        self.assertEqual({one.status for one in refused}, {503})

    async def _until_served(self) -> None:
        """Wait until every gateway serves harmless requests on all routes."""
        for gateway in self.office.gateways:
            for route in ("once", "again", "draft", "long"):
                await self.fatal.wait_until_served(self.office.client_address(gateway), route)
