"""Client that sends planned requests to gateways."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable, Sequence

import aiohttp

from ..wire.direct_connector import DirectConnector
from .arrival import Arrival
from .load_report import LoadReport

END_OF_STREAM = b"data: [DONE]"
"""Last event of a complete answer; without it the answer was cut off."""


class LoadClient:
    """Sends streamed completions to several gateways in turn, with the key of one caller.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the gateways, with `/v1`.
    model : str
        Model to ask for; `{}` is replaced by the number of the adapter.
    tokens : int
        Largest number of tokens of each answer.

    Attributes
    ----------
    report : LoadReport
        Outcomes and latencies so far.
    """

    def __init__(self, urls: Sequence[str], key: str, model: str, tokens: int) -> None:
        self._urls = urls
        self._headers = {"Authorization": f"Bearer {key}"}
        self._model = model
        self._tokens = tokens
        self.report = LoadReport()

    async def run(self, arrivals: Iterable[Arrival]) -> LoadReport:
        """Send every request when it is due, and return the report once all have ended."""
        started = time.monotonic()
        tasks = []
        connector = DirectConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, trust_env=False) as session:
            for number, arrival in enumerate(arrivals):
                due_s = started + arrival.at_ms / 1000
                await asyncio.sleep(max(due_s - time.monotonic(), 0))
                url = self._urls[number % len(self._urls)]
                tasks.append(asyncio.ensure_future(self._send(session, url, arrival, due_s)))
            await asyncio.gather(*tasks)
        return self.report

    async def _send(
        self, session: aiohttp.ClientSession, url: str, arrival: Arrival, due_s: float
    ) -> None:
        cancel_s = None if arrival.cancel_ms is None else arrival.cancel_ms / 1000
        try:
            async with asyncio.timeout(cancel_s):
                await self._stream(session, url, arrival, due_s)
        except TimeoutError:
            self.report.record_failure("cancelled")
        except (aiohttp.ClientError, OSError):
            self.report.record_failure("broken")

    async def _stream(
        self, session: aiohttp.ClientSession, url: str, arrival: Arrival, due_s: float
    ) -> None:
        model = self._model.replace("{}", str(arrival.adapter))
        body = {"model": model, "stream": True, "max_tokens": self._tokens, "prompt": "x"}
        headers = self._headers | {"X-Priority": arrival.priority}
        first = None
        is_complete = False
        async with session.post(f"{url}/completions", json=body, headers=headers) as resp:
            if resp.status != 200:
                self.report.record_failure(json.loads(await resp.read())["error"]["code"])
                return
            async for line in resp.content:
                first = first or time.monotonic()
                is_complete = is_complete or line.startswith(END_OF_STREAM)
        if first is None or not is_complete:
            self.report.record_failure("broken")
            return
        ended = time.monotonic()
        self.report.record_answer(arrival.priority, (first - due_s) * 1000, (ended - due_s) * 1000)
