"""Silence of the link to the gateway that owns an engine, which is no fault.

Guards against requests that are refused while they wait for a ticket over a link that passes
nothing for a second or so, and against tickets that stay taken by what a pause has overtaken.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from ..ownership import TICKET_CODEC, TicketEnd
from ..peers import PeerLink, PeerServer, peer_link
from .fakes.fake_office import FakeOffice
from .fakes.silent_line import SilentLine

PAUSES_MS = (300, 1_000, 1_500)
KINDS: tuple[tuple[str, dict[str, str]], ...] = (
    ("a1@1", {}),
    ("once@1", {}),
    ("a1@1", {"Idempotency_Key": "key"}),
)
EVENTS = 7


class TicketSilenceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.office = FakeOffice()
        await self.office.start(gateways=2, engines=1)
        self.owner = self.office.owner()
        self.gateway = self.office.other(self.owner)
        clock = self.office.clock
        self.line = SilentLine(TICKET_CODEC, clock)
        self.line.serve = PeerServer(self.owner.engine_owners, clock).serve
        with patch.object(peer_link, "RpcChannel", self.line):
            self.link = PeerLink(self.gateway.session, "owner", clock, None)
        self.link_task = asyncio.ensure_future(self.link.run())
        links: Any = self.gateway.links
        links.acquire = self.link.acquire
        links.views = lambda: iter(self.link.views.values())
        links.release_ticket = lambda engine, attempt: self.link.release_ticket(TicketEnd(attempt))
        await clock.advance(100)

    async def asyncTearDown(self) -> None:
        self.link_task.cancel()
        await asyncio.gather(self.link_task, return_exceptions=True)
        await self.office.stop()

    def _begin(self, name: str) -> list[asyncio.Task[list[bytes]]]:
        tasks = []
        for model, headers in KINDS:
            headers = {header: f"{key}-{name}" for header, key in headers.items()}
            req = self.gateway.request(model, **headers)
            tasks.append(asyncio.ensure_future(self.gateway.answer(req)))
        return tasks

    async def _assert_whole(self, tasks: list[asyncio.Task[list[bytes]]]) -> None:
        for task in tasks:
            events = await self.office.done(task, 60_000)
            self.assertEqual((len(events), events[-1]), (EVENTS, b"[DONE]"))

    async def _assert_nothing_held(self) -> None:
        await self.office.clock.advance(3_000)
        views = list(self.owner.engine_owners.views())
        self.assertEqual([(view.running, view.waiting) for view in views], [(0, 0)])

    async def test_a_pause_while_the_ticket_is_awaited(self) -> None:
        for pause_ms in PAUSES_MS:
            for after_ms in (0, 1, 100):
                with self.subTest(pause_ms=pause_ms, after_ms=after_ms):
                    before = len(self.office.engine().ran)
                    tasks = self._begin(f"{pause_ms}-{after_ms}")
                    await self.office.clock.advance(after_ms)
                    self.line.be_silent(pause_ms)
                    await self._assert_whole(tasks)
                    self.assertEqual(len(self.office.engine().ran), before + len(KINDS))
                    await self._assert_nothing_held()

    async def test_a_pause_that_begins_before_the_request(self) -> None:
        for pause_ms in PAUSES_MS:
            with self.subTest(pause_ms=pause_ms):
                before = len(self.office.engine().ran)
                self.line.be_silent(pause_ms)
                await self._assert_whole(self._begin(f"before-{pause_ms}"))
                self.assertEqual(len(self.office.engine().ran), before + len(KINDS))
                await self._assert_nothing_held()

    # Guards against a stream that hangs on the link over which its ticket came.
    async def test_a_pause_after_the_stream_has_begun(self) -> None:
        for pause_ms in PAUSES_MS:
            with self.subTest(pause_ms=pause_ms):
                before = len(self.office.engine().ran)
                tasks = self._begin(f"begun-{pause_ms}")
                while len(self.office.engine().ran) < before + len(KINDS):
                    await self.office.clock.advance(1)
                await self.office.clock.advance(25)
                began_ms = self.office.clock.now_ms()
                self.line.be_silent(pause_ms)
                await self._assert_whole(tasks)
                self.assertLess(self.office.clock.now_ms() - began_ms, 300)
                await self._assert_nothing_held()
