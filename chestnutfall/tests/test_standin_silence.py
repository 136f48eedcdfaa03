"""Stand-in upstreams that fall silent for a while, which is no fault."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from typing import Any

import aiohttp
from aiohttp.test_utils import TestClient, TestServer

from ..platform import header_names as names
from ..platform.standin.adapter_store import MODEL
from ..platform.standin.operator import ENGINES, PLAIN
from ..platform.standin.run_registry import RunRegistry
from ..platform.standin.stream_text import is_whole_stream
from ..platform.standin.upstream import StandInUpstream, answer_body
from ..standin.engine_app import EngineApp
from ..standin.engine_core import EngineCore
from ..standin.silence import SilentMoment

SILENCE_S = 0.3
EVENTS = 60
"""A stream lasts for 0.6 s, so that it has begun and not ended when the silence begins."""
ID = "0123456789abcdef"


class PlatformSilenceTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a silence that drops or resets something: then it would be a fault.
    async def test_a_plain_upstream_answers_after_its_silence(self) -> None:
        for pauses_runs in (False, True):
            with self.subTest(pauses_runs=pauses_runs):
                upstream = await self._start(PLAIN, False)
                upstream.silence.begin(SILENCE_S, pauses_runs)
                took_s, body = await self._post(upstream)
                self.assertGreaterEqual(took_s, SILENCE_S)
                self.assertEqual(body, answer_body(ID))

    async def test_an_engine_is_silent_at_each_moment_of_a_stream(self) -> None:
        moments = (
            (False, 0.0, SilentMoment.HEAD),
            (False, 0.2, SilentMoment.EVENT),
            (True, 0.2, SilentMoment.REST_OF_EVENT),
        )
        for splits_events, after_s, moment in moments:
            with self.subTest(moment=moment):
                upstream = await self._start(ENGINES, True)
                upstream.events = EVENTS
                self._load(upstream)
                sending = asyncio.ensure_future(self._post(upstream))
                await asyncio.sleep(after_s)
                upstream.silence.begin(SILENCE_S, False, splits_events)
                body = (await sending)[1]
                self.assertTrue(is_whole_stream(body, ID, EVENTS))
                self.assertGreaterEqual(upstream.silence.held[moment], 1)

    # Guards against a crash that leaves the next incarnation silent.
    async def test_a_restart_ends_the_silence(self) -> None:
        upstream = await self._start(PLAIN, False)
        upstream.silence.begin(60.0)
        upstream.down_s = 0.0
        await upstream.restart()
        self.assertEqual((await self._post(upstream))[1], answer_body(ID))

    async def _start(self, service: str, is_engine: bool) -> StandInUpstream:
        upstream = StandInUpstream(service, is_engine, RunRegistry(), random.Random(1), [])
        await upstream.start()
        upstream.announced_address = upstream.address
        self.addAsyncCleanup(upstream.stop)
        return upstream

    def _load(self, upstream: StandInUpstream) -> None:
        upstream._adapters.versions["a1"] = 1

    async def _post(self, upstream: StandInUpstream) -> tuple[float, bytes]:
        began_s = time.monotonic()
        headers = {names.REQUEST_ID: ID, names.MODEL: f"{MODEL}/a1"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{upstream.address}/x", headers=headers, data=b"photo") as resp,
        ):
            body = await resp.read()
            return time.monotonic() - began_s, body


class OpenAiSilenceTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_engine_goes_on_after_its_silence(self) -> None:
        for splits_events in (False, True):
            for pauses_runs in (False, True):
                with self.subTest(splits_events=splits_events, pauses_runs=pauses_runs):
                    core = EngineCore(2, 0, 10, 4, False)
                    core.adapters["a"] = "ready"
                    stepping = asyncio.ensure_future(core.step_forever())
                    async with TestClient(TestServer(EngineApp(core).build())) as client:
                        whole = await self._stream(client, "plain")
                        script = {"for_s": SILENCE_S, "pauses_runs": pauses_runs}
                        script["splits_events"] = splits_events
                        began_s = time.monotonic()
                        await client.post("/standin/silence", json=script)
                        held = await self._stream(client, "silent")
                        self.assertGreaterEqual(time.monotonic() - began_s, SILENCE_S)
                        self.assertEqual(held.replace(b"silent", b"plain"), whole)
                    stepping.cancel()

    async def _stream(self, client: TestClient[Any, Any], name: str) -> bytes:
        body = {"model": "a", "prompt": "x", "stream": True, "max_tokens": 5}
        headers = {"X-Request-Id": name}
        async with client.post("/v1/completions", json=body, headers=headers) as resp:
            return await resp.read()
