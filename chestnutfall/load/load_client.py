"""Sends planned requests to gateways."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable, Sequence

import aiohttp

from .arrival import Arrival
from .load_report import LoadReport

DONE = b"data: [DONE]"


class LoadClient:
    """One caller that streams from several gateways in turn."""

    def __init__(self, urls: Sequence[str], key: str, model: str, tokens: int) -> None:
        self._urls = urls
        self._headers = {"Authorization": f"Bearer {key}"}
        self._model = model
        self._tokens = tokens
        self.report = LoadReport()

    async def run(self, arrivals: Iterable[Arrival]) -> LoadReport:
        """Send every request when it is due, and wait for all answers."""
        started = time.monotonic()
        tasks = []
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, trust_env=False) as session:
            for number, arrival in enumerate(arrivals):
                due = started + arrival.at_ms / 1000
                await asyncio.sleep(max(due - time.monotonic(), 0))
                url = self._urls[number % len(self._urls)]
                tasks.append(asyncio.ensure_future(self._one(session, url, arrival, due)))
            await asyncio.gather(*tasks)
        return self.report

    async def _one(
        self, session: aiohttp.ClientSession, url: str, arrival: Arrival, due: float
    ) -> None:
        limit_s = None if arrival.cancel_ms is None else arrival.cancel_ms / 1000
        try:
            async with asyncio.timeout(limit_s):
                await self._stream(session, url, arrival, due)
        except TimeoutError:
            self.report.ended("cancelled")
        except (aiohttp.ClientError, OSError):
            self.report.ended("broken")

    async def _stream(
        self, session: aiohttp.ClientSession, url: str, arrival: Arrival, due: float
    ) -> None:
        model = self._model.replace("{}", str(arrival.adapter))
        body = {"model": model, "stream": True, "max_tokens": self._tokens, "prompt": "x"}
        headers = self._headers | {"X-Priority": arrival.priority}
        first = None
        whole = False
        async with session.post(f"{url}/completions", json=body, headers=headers) as resp:
            if resp.status != 200:
                self.report.ended(json.loads(await resp.read())["error"]["code"])
                return
            async for line in resp.content:
                first = first or time.monotonic()
                whole = whole or line.startswith(DONE)
        if first is None or not whole:
            self.report.ended("broken")
            return
        ended = time.monotonic()
        self.report.answered(arrival.priority, (first - due) * 1000, (ended - due) * 1000)
