"""Silence of a helper, and of its link to an upstream, which is no fault.

Guards against requests of a gateway without links of its own that are given up, or sent twice,
while what sends them for it is silent for a second or so.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from .fakes.caller_edge_case import Reply
from .fakes.helped_edge_case import HelpedEdgeCase

SILENT_MS = 200
"""Silence after which a service's connections count as dead."""
PAUSES_MS = (300, 1_000, 1_500)
TOKENS = 30
"""Events of a stream, 10 ms apart."""
DEADLINE = {"X-Timeout-Ms": "20000"}


class HelpedSilenceTest(HelpedEdgeCase):
    silent_ms = SILENT_MS
    engines = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.change({"services": {"redactor-ia": {"silent_ms": SILENT_MS}}})
        for engine in self._engines():
            engine.tokens = TOKENS
        self.broken: list[Any] = []
        quarantine: Any = self.gateway.quarantine
        quarantine.note_broken = lambda *args: self.broken.append(args)

    def _engines(self) -> list[Any]:
        return [engine for engine, _ in self.office.announced.values()]

    def _silence_links(self, ms: int) -> None:
        until_ms = self.office.clock.now_ms() + ms
        self.engine_links.silent_until_ms = until_ms
        for engine in self._engines():
            engine.silent_until_ms = until_ms

    def _places(self) -> tuple[tuple[str, Callable[[int], None]], ...]:
        return ("helper", self.line.be_silent), ("link", self._silence_links)

    def _begin(self, key: str) -> dict[str, asyncio.Future[Reply]]:
        """Begin one request of each kind."""
        calls = {
            "stream": self.post("a1@1", True, **DEADLINE),
            "whole": self.post("a1@1", False, **DEADLINE),
            "once": self.post("once@1", True, **DEADLINE),
            "keyed": self.post("a1@1", True, **DEADLINE, **{"Idempotency-Key": key}),
            "plain get": self.send("GET", "/counter/x"),
            "plain post": self.send("POST", "/counter/x", b"body"),
        }
        return {name: asyncio.ensure_future(call) for name, call in calls.items()}

    async def _pass(self, ms: int) -> None:
        for _ in range(ms // 10):
            await self.step()

    async def _assert_whole(self, calls: dict[str, asyncio.Future[Reply]]) -> None:
        for name, call in calls.items():
            status, body, _ = await self.finish(_wait(call))
            self.assertEqual(status, 200, (name, body))
            if name in ("once", "keyed"):
                self.assertEqual(self._runs(_request_of(body)), 1)
            is_stream = name in ("stream", "once", "keyed")
            self.assertEqual(body.endswith(b"[DONE]\n\n"), is_stream, (name, body))
            if is_stream:
                self.assertEqual(body.count(b"data: "), TOKENS + 1)
            if name.startswith("plain"):
                self.assertEqual(body, b"whole")

    async def _settle(self) -> None:
        """Load the adapters and connect to the helper."""
        await self._assert_whole(self._begin("first"))

    def _runs(self, request_id: str = "") -> int:
        """Runs of one request, or of all."""
        runs = [run for engine in self._engines() for run in engine.ran]
        return sum(run.startswith(request_id) for run in runs)

    # Guards against a request that is refused, or runs twice, since all that sends for it pauses.
    async def test_a_pause_before_the_first_event(self) -> None:
        await self._settle()
        for place, silence in self._places():
            for pause_ms in PAUSES_MS:
                with self.subTest(place=place, pause_ms=pause_ms):
                    plain_runs = self.engine_links.plain_runs
                    silence(pause_ms)
                    await self._assert_whole(self._begin(f"{place}-{pause_ms}"))
                    self.assertEqual(self.engine_links.plain_runs, plain_runs + 2)
        self.assertEqual(self.broken, [])

    # Guards against a stream that is broken off by pauses of what passes it on.
    async def test_pauses_between_events(self) -> None:
        await self._settle()
        for place, silence in self._places():
            for pause_ms in PAUSES_MS:
                with self.subTest(place=place, pause_ms=pause_ms):
                    calls = self._begin(f"{place}-{pause_ms}")
                    for _ in range(3):
                        await self._pass(60)
                        silence(pause_ms)
                        await self._pass(pause_ms)
                    await self._assert_whole(calls)
        self.assertEqual(self.broken, [])
        self.assertEqual(self.ends(), {"answered": 6 * (1 + 2 * len(PAUSES_MS))})

    # Guards against "may have run" for what a helper never got, and against a request without end.
    async def test_a_pause_of_a_helper_that_is_not_connected(self) -> None:
        await self._settle()
        for pause_ms in PAUSES_MS:
            with self.subTest(pause_ms=pause_ms):
                runs, plain_runs = self._runs(), self.engine_links.plain_runs
                self.line.is_connected = False
                self.line.be_silent(pause_ms)
                calls = self._begin(f"unconnected-{pause_ms}")
                served = {name: call for name, call in calls.items() if await self._served(call)}
                await self._assert_whole(served)
                plain = sum(name.startswith("plain") for name in served)
                self.assertEqual(self._runs(), runs + len(served) - plain)
                self.assertEqual(self.engine_links.plain_runs, plain_runs + plain)
                await self._pass(2_000)

    async def _served(self, call: asyncio.Future[Reply]) -> bool:
        """Whether a request got its answer; otherwise it is refused as not run."""
        status, _, headers = await self.finish(_wait(call))
        if status != 200:
            self.assertEqual((status, headers["X-Executed"]), (503, "no"))
            self.assertIn("Retry-After", headers)
        return bool(status == 200)

    # Guards against plain calls that no helper gets, since their headers can't be encoded.
    async def test_each_kind_of_request_is_served_through_a_helper(self) -> None:
        await self._settle()
        self.assertEqual((self._runs(), self.engine_links.plain_runs), (4, 2))


def _request_of(body: bytes) -> str:
    """Return the id of the request that a stream answers."""
    first = json.loads(body.partition(b"\n")[0].removeprefix(b"data: "))
    return str(first["id"]).rpartition("-")[0]


async def _wait(task: asyncio.Future[Any]) -> Any:
    return await task
