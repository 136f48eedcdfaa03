"""Upstreams of plain services that fall silent and go on, which is no fault.

Guards against calls that are refused, or run again, although their upstream still answers.
"""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from .fakes.caller_edge_case import CallerEdgeCase

PAUSE_S = 0.3
"""Several times the silence that the service bears, also while the machine is busy."""
MAX_UPSTREAMS = 10


class PlainSilenceTest(CallerEdgeCase):
    silent_ms = 100

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.ran: list[int] = []
        self.ended: list[int] = []
        self.pause_s = [0.0] * MAX_UPSTREAMS
        self.wake = asyncio.Event()
        self.status = [200] * MAX_UPSTREAMS
        self.hangs_first = False
        self.broken: list[Any] = []
        quarantine: Any = self.gateway.quarantine
        quarantine.note_broken = lambda *args: self.broken.append(args)
        self.runners: list[web.ServerRunner] = []

    async def asyncTearDown(self) -> None:
        self.wake.set()
        for runner in self.runners:
            await runner.cleanup()
        await super().asyncTearDown()

    async def _start(self, upstreams: int) -> None:
        addresses = []
        for number in range(upstreams):
            runner = web.ServerRunner(
                web.Server(self._handler(number), handler_cancellation=True), shutdown_timeout=0.1
            )
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            self.runners.append(runner)
            addresses.append(f"127.0.0.1:{runner.addresses[0][1]}")
        self.announce_plain(*addresses)

    def _handler(self, number: int) -> Any:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            self.ran.append(number)
            if self.hangs_first:
                if len(self.ran) == 1:
                    await self.wake.wait()
                elif request.transport is not None:
                    request.transport.abort()
            try:
                if self.pause_s[number] < 0:
                    await self.wake.wait()
                await asyncio.sleep(self.pause_s[number])
            finally:
                self.ended.append(number)
            headers = {"Retry-After": "1", "X-Executed": "no"} if self.status[number] > 500 else {}
            return web.Response(text=f"of {number}", status=self.status[number], headers=headers)

        return handle

    # Guards against a call that is given up for a pause, or sent twice although it may run once.
    async def test_a_pause_of_the_only_upstream_is_waited_for(self) -> None:
        await self._start(1)
        self.pause_s[0] = PAUSE_S
        for method in ("POST", "GET"):
            with self.subTest(method):
                reply = await self.finish(self.send(method, "/counter/x", b"body"))
                self.assertEqual(reply[:2], (200, b"of 0"))
        self.assertEqual(self.ran, [0, 0])
        self.assertEqual(self.broken, [])

    # Guards against a call that runs twice since its upstream paused.
    async def test_a_call_that_may_run_once_is_sent_once(self) -> None:
        await self._start(2)
        self.pause_s = [PAUSE_S, PAUSE_S]
        reply = await self.finish(self.send("POST", "/counter/x", b"body"))
        self.assertEqual((reply[0], len(self.ran)), (200, 1))

    # Guards against a call that waits for a hung upstream although another one is sound.
    async def test_a_hung_upstream_is_replaced_by_a_sound_one(self) -> None:
        await self._start(2)
        for hung in (0, 1):
            with self.subTest(hung=hung):
                self.pause_s = [0.0, 0.0]
                self.pause_s[hung] = -1.0
                for _ in range(2):
                    reply = await self.finish(self.send("GET", "/counter/x"))
                    self.assertEqual(reply[:2], (200, b"of %d" % (1 - hung)))
        for _ in range(20):
            await self.step()
        self.assertEqual(len(self.ended), len(self.ran))
        self.assertEqual(self.broken, [])

    # Guards against an answer that is lost since the call beside it was turned away.
    async def test_a_call_turned_away_beside_a_silent_one_ends_nothing(self) -> None:
        await self._start(2)
        for paused in (0, 1):
            with self.subTest(paused=paused):
                self.pause_s = [0.0, 0.0]
                self.pause_s[paused] = PAUSE_S
                self.status = [503, 503]
                self.status[paused] = 200
                for first in range(2):
                    self.plain._round_robin = first
                    reply = await self.finish(self.send("GET", "/counter/x"))
                    self.assertEqual(reply[:2], (200, b"of %d" % paused))
                    await self.office.clock.advance(5_000)
                    self._announce()

    # Guards against a silent upstream that is reported as one that a request has ended.
    async def test_silence_to_the_end_is_no_end_of_the_upstream(self) -> None:
        await self.change({"limits": {"default": {"request_ms": 100}}})
        await self._start(1)
        self.pause_s[0] = -1.0
        reply = await self.finish(self.send("POST", "/counter/x", b"body"))
        self.assertEqual((reply[0], reply[2]["X-Executed"]), (502, "unknown"))
        self.assertEqual(self.broken, [])

    # Guards against a call that ends one upstream after the other beside one that hangs.
    async def test_sends_beside_a_hung_upstream_are_bounded(self) -> None:
        await self._start(MAX_UPSTREAMS)
        self.hangs_first = True
        task = asyncio.ensure_future(self.send("GET", "/counter/x"))
        for _ in range(200):
            await self.step()
        self.assertFalse(task.done())
        self.assertEqual((len(self.ran), len(self.broken)), (3, 2))
        self.wake.set()
        reply = await self.finish(_result(task))
        self.assertEqual((reply[0], len(self.ran)), (200, 3))

    # Guards against more sends of a call over the rounds than it has in one.
    async def test_sends_are_bounded_over_all_rounds(self) -> None:
        await self._start(MAX_UPSTREAMS)
        self.pause_s = [-1.0] + [PAUSE_S] * (MAX_UPSTREAMS - 1)
        self.status = [503] * MAX_UPSTREAMS
        for first in range(3):
            with self.subTest(first=first):
                self.plain._round_robin = first - 2
                self.ran.clear()
                await self.change({"limits": {"default": {"request_ms": 1_000}}})
                await self.finish(self.send("GET", f"/counter/{first}"))
                self.assertLessEqual(len(self.ran), 3)

    # Guards against a call that is sent beside a silent one although it is quarantined by then.
    async def test_a_quarantined_call_is_not_sent_beside_a_silent_one(self) -> None:
        await self._start(3)
        self.pause_s = [-1.0] * 3
        checked: list[str] = []
        quarantine: Any = self.gateway.quarantine

        def retry_ms(fingerprint: str) -> int | None:
            checked.append(fingerprint)
            return None if len(checked) == 1 else 1_000

        quarantine.retry_ms = retry_ms
        task = asyncio.ensure_future(self.send("GET", "/counter/x"))
        for _ in range(60):
            await self.step()
        self.assertFalse(task.done())
        self.assertEqual(len(self.ran), 1)
        self.assertGreater(len(checked), 1)
        self.wake.set()
        self.pause_s = [0.0] * 3
        reply = await self.finish(_result(task))
        self.assertEqual((reply[0], len(self.ran)), (200, 1))


async def _result(task: asyncio.Task[Any]) -> Any:
    return await task
