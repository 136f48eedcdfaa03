"""The stream between an entry gateway and an owner, over a real connection.

When the owner is silent, the stream breaks, or a grant arrives after its request was given up, the
entry gateway must not wait for ever, and no unused ticket may keep an adapter pinned.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from ..clock import SystemClock
from ..ownership import (
    TICKET_CODEC,
    EngineView,
    Hello,
    TicketEnd,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)
from ..peers import PeerLink
from ..peers.peer_server import METHOD
from ..wire import RpcChannel, RpcServer
from .fakes.cancelled_stream import CancelledStream


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received: list[Any] = []
        self.send: asyncio.Queue[Any] = asyncio.Queue()
        self.streams = 0
        self.server = RpcServer("127.0.0.1:0")
        self.server.add_stream(METHOD, TICKET_CODEC, self._serve)
        await self.server.start()
        address = f"127.0.0.1:{self.server.port}"
        self.link = PeerLink("entry#1", address, SystemClock(), None)
        self.task = asyncio.ensure_future(self.link.run())
        await self._until(lambda: bool(self.received))

    async def asyncTearDown(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.server.stop(0)

    async def _serve(self, messages: Any, context: Any) -> Any:
        self.streams += 1
        reader = asyncio.ensure_future(self._read(messages))
        try:
            while (msg := await self.send.get()) is not None:
                yield msg
        finally:
            reader.cancel()

    async def _read(self, messages: Any) -> None:
        async for msg in messages:
            self.received.append(msg)

    async def _until(self, condition: Any) -> None:
        for _ in range(1000):
            if condition():
                return
            await asyncio.sleep(0.01)
        raise AssertionError("did not happen")

    def _request(self, attempt_id: str, wait_ms: int = 20_000) -> asyncio.Future[Any]:
        req = TicketRequest(attempt_id, "engine-1", "a@1+00", 1, wait_ms)
        return asyncio.ensure_future(self.link.acquire(req))

    # Guards against the end of a stream that is taken for the end of the link.
    async def test_a_stream_that_is_cancelled_by_others_is_followed_by_the_next(self) -> None:
        self.task.cancel()
        await asyncio.wait([self.task])
        link = PeerLink("entry#1", f"127.0.0.1:{self.server.port}", SystemClock(), None)
        with patch.object(RpcChannel, "stream", return_value=CancelledStream()):
            self.task = asyncio.ensure_future(link.run())
            await asyncio.sleep(0.05)
        await self._until(lambda: self.streams == 2)

    async def test_answers_find_their_requests_in_any_order(self) -> None:
        first, second = self._request("one"), self._request("two")
        await self._until(lambda: len(self.received) == 3)
        self.send.put_nowait(TicketGrant("two", 0))
        self.send.put_nowait(TicketRefusal("one", "queue_full", 1000))
        self.assertEqual(await first, TicketRefusal("one", "queue_full", 1000))
        self.assertEqual(await second, TicketGrant("two", 0))
        self.assertEqual(self.received[0], Hello("entry#1"))

    async def test_owner_that_is_silent_is_given_up(self) -> None:
        answer = await self._request("one", wait_ms=1)
        self.assertEqual(answer.code, "owner_silent")
        await self._until(lambda: TicketEnd("one") in self.received)

    async def test_grant_that_nobody_waits_for_is_given_back(self) -> None:
        waiting = self._request("one")
        await self._until(lambda: len(self.received) == 2)
        waiting.cancel()
        self.send.put_nowait(TicketGrant("one", 0))
        self.send.put_nowait(TicketGrant("one", 0))
        await self._until(lambda: self.received.count(TicketEnd("one")) == 3)

    async def test_stream_that_breaks_refuses_what_waits_and_comes_back(self) -> None:
        self.send.put_nowait(EngineView("engine-1", ("a@1+00",), 0, 0))
        await self._until(lambda: "engine-1" in self.link.views)
        waiting = self._request("one")
        await self._until(lambda: len(self.received) == 2)
        self.send.put_nowait(None)
        self.assertEqual((await waiting).code, "owner_unreachable")
        self.assertEqual(self.link.views, {})
        await self._until(lambda: self.streams == 2)
