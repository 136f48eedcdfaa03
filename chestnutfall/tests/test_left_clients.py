"""Requests whose clients leave before they are answered."""

from __future__ import annotations

import asyncio
import itertools
import socket
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import uvloop
from aiohttp import web

from ..control.upstream_record import UpstreamRecord
from ..forwarding.upstream_answer import NotRun
from ..forwarding.upstream_api import AnswerLost, NotSent, UpstreamApi
from ..placement import RunOutcome
from ..platform.listening import listen
from ..requests.awaited import Unawaited, send_while
from ..routes import RouteKind
from ..wire.direct_connector import DirectConnector
from .fakes.fake_upstreams import Cut
from .fakes.forwarder_case import ForwarderCase, event
from .fakes.path_office import send_to
from .fakes.served_gateway import ServedGateway, request
from .fakes.silence_case import SILENT_MS, SilenceCase
from .fakes.silence_scripts import SOUND
from .fakes.timed_upstreams import HANG
from .fakes.upstream_clients import upstream_client

CLIENTS = 50
WHOLE = (b"whole",)
LONG_BODY = b"x" * 16_000_000
"""More than the buffers of both ends of a connection hold."""
READ_BYTES = 65_536
POLL_S = 0.001
KINDS = (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)


async def _leave_unread(kind: RouteKind, is_kept: bool) -> int:
    """Return how many requests reach the upstream whose clients left before they were read."""
    gateway = ServedGateway(kind)
    await gateway.start()
    # These leave idle connections to the upstream, over which a request is sent at once.
    kept = [gateway.connect() for _ in range(CLIENTS)]
    await gateway.serve(kept)
    gateway.arrived.clear()
    clients = kept if is_kept else [gateway.connect() for _ in range(CLIENTS)]
    for number, client in enumerate(clients):
        client.setblocking(False)
        client.send(request(f"left-{number}"))
        client.close()
    while gateway.ended("caller_left") < CLIENTS:
        await asyncio.sleep(POLL_S)
    await gateway.stop()
    return len(gateway.arrived)


async def _leave_in_a_turn(kind: RouteKind) -> int:
    """Return how many requests reach the upstream that were left as the event loop was busy."""
    gateway = ServedGateway(kind)
    await gateway.start()
    client = gateway.connect()
    await gateway.serve([client])
    gateway.arrived.clear()
    gateway.selector.on_select = client.close
    client.send(request("left"))
    while not gateway.ended("caller_left"):
        await asyncio.sleep(POLL_S)
    await gateway.stop()
    return len(gateway.arrived)


class UnreadCloseTest(unittest.TestCase):
    # Guards against requests that are sent on after their clients left: the gateway is late, and
    # reads a request while the end of its connection lies unread right behind it.
    def test_a_request_that_was_left_before_it_was_read_is_not_sent(self) -> None:
        for kind in KINDS:
            for is_kept in (True, False):
                with self.subTest(kind=kind.name, is_kept=is_kept):
                    self.assertEqual(uvloop.run(_leave_unread(kind, is_kept)), 0)

    # Guards against the same in a turn of the event loop that takes long, as the end of the
    # connection comes while the request is being served.
    def test_a_request_that_was_left_in_the_same_turn_is_not_sent(self) -> None:
        for kind in KINDS:
            with self.subTest(kind=kind.name):
                self.assertEqual(uvloop.run(_leave_in_a_turn(kind)), 0)


class LeftCallTest(ForwarderCase):
    """Calls whose clients leave while they wait, without the event loop having noticed."""

    def _leave(self) -> None:
        self.reply.gone = True

    def _assert_sent(self, sends: int) -> None:
        self.assertEqual(len(self.upstreams.sends), sends)
        self.assertEqual(self.reply.ended, "")

    # Guards against work for a client that left before its request was served.
    async def test_nothing_is_done_for_a_client_that_left_at_once(self) -> None:
        self._leave()
        await self._serve(RouteKind.IDEMPOTENT, (WHOLE,))
        self._assert_sent(0)
        self.assertEqual(self.selector.criteria, [])

    # Guards against a starting gateway that sends what waited for its first document.
    async def test_a_call_that_was_left_as_it_waited_for_the_document_is_not_sent(self) -> None:
        self.routes_from_ms = 300
        self.on_selected = self._leave
        await self._serve(RouteKind.IDEMPOTENT, (WHOLE,))
        self._assert_sent(0)

    # Guards against a send to a place that came as the client left: of the leader, a turn at a
    # plain service, room or an adapter.
    async def test_a_call_that_was_left_as_it_waited_for_a_place_is_not_sent(self) -> None:
        for kind in RouteKind:
            with self.subTest(kind=kind):
                self.setUp()
                self.on_selected = self._leave
                await self._serve(kind, (WHOLE,))
                self._assert_sent(0)
                self.assertEqual(self.selector.outcomes, [RunOutcome.WITHDRAWN])

    # Guards against a repeat for a client that left meanwhile, whatever the first send came to.
    async def test_a_call_that_was_left_is_not_repeated(self) -> None:
        for end in (NotRun.FULL, NotRun.ABSENT, NotSent, AnswerLost):
            with self.subTest(end=end):
                self.setUp()
                self.on_released = self._leave
                await self._serve(RouteKind.IDEMPOTENT, (end, WHOLE))
                self._assert_sent(1)

    async def test_a_stream_that_was_left_is_not_taken_up_elsewhere(self) -> None:
        self.on_released = self._leave
        await self._serve(RouteKind.RESUMABLE_STREAM, (Cut((event(1),)), (event(2),)))
        self._assert_sent(1)
        self.assertEqual(self.reply.body, event(1))


class LeftSilentCallTest(SilenceCase):
    # Guards against a second send beside a silent one whose client has left, and against a first
    # send that goes on.
    async def test_a_silent_call_that_was_left_is_not_sent_to_another_upstream(self) -> None:
        for first in ((), (50, event(1))):
            with self.subTest(first=first):
                self.setUp()
                self._begin((*first, HANG), SOUND)
                reply, served = self._call(RouteKind.RESUMABLE_STREAM)
                await self.clock.advance(100)
                reply.gone = True
                await self.clock.advance(2 * SILENT_MS)
                self.assertTrue(served.done())
                self.assertEqual(len(self.upstreams.sends), 1)
                self.assertIsNotNone(self.upstreams.sends[0].ended_ms)
                self.assertEqual(self.selector.open_places, 0)


class LeftWhileConnectingTest(unittest.IsolatedAsyncioTestCase):
    """Calls whose clients leave while a connection to the upstream opens."""

    async def asyncSetUp(self) -> None:
        self.arrived = 0
        self.is_awaited = True
        self._runner = await listen(web.Server(self._on_call), "127.0.0.1:0")
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        self.addAsyncCleanup(self._runner.cleanup)
        send_while(lambda: self.is_awaited)

    async def _on_call(self, request: web.BaseRequest) -> web.Response:
        self.arrived += 1
        return web.Response()

    # Guards against a request that is written to a connection which opened too late.
    async def test_a_call_is_not_sent_once_a_connection_is_open(self) -> None:
        apis = (upstream_client(is_own=False), upstream_client(is_own=True))
        sent = send_to(UpstreamRecord("i0", "s", self.address, "dc"))
        for api, runs_once in itertools.product(apis, (False, True)):
            with self.subTest(api=type(api).__name__, runs_once=runs_once):
                self.is_awaited = True
                with (
                    patch.object(DirectConnector, "open_connection", new=self._opener()),
                    self.assertRaises(Unawaited),
                ):
                    async with api.send(replace(sent, runs_once=runs_once)):
                        pass
        for api in apis:
            await api.close()
        self.assertEqual(self.arrived, 0)

    def _opener(self) -> Callable[..., Any]:
        """Return a function that opens a connection; the client leaves meanwhile."""

        async def open_connection(connector: DirectConnector, *args: Any, **options: Any) -> Any:
            self.is_awaited = False
            return await connector._loop.create_connection(*args, **options)

        return open_connection


async def _leave_in_body(is_own: bool) -> tuple[int, bool]:
    """Let a client leave whose long body an upstream has read in part.

    Returns the bytes that the upstream gets in all, and whether its connection is reset.
    """
    loop = asyncio.get_running_loop()
    api = upstream_client(is_own)
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        upstream = UpstreamRecord("i0", "s", f"127.0.0.1:{server.getsockname()[1]}", "dc")
        sending = asyncio.ensure_future(_send_long(api, upstream))
        conn, _ = await loop.sock_accept(server)
    with conn:
        conn.setblocking(False)
        got = len(await loop.sock_recv(conn, READ_BYTES))
        sending.cancel()
        await asyncio.wait({sending})
        try:
            while data := await loop.sock_recv(conn, READ_BYTES):
                got += len(data)
        except ConnectionResetError:
            return got, True
        finally:
            await api.close()
    return got, False


async def _send_long(api: UpstreamApi, upstream: UpstreamRecord) -> None:
    sent = send_to(upstream)
    async with api.send(replace(sent, call=replace(sent.call, body=LONG_BODY))):
        pass


class LeftInBodyTest(unittest.TestCase):
    # Guards against a request that arrives whole though its client has left: the rest of it waits
    # in a buffer for an upstream that reads slowly, or a link that is slow or cut.
    def test_the_rest_of_a_request_that_was_left_is_not_sent(self) -> None:
        for is_own in (False, True):
            with self.subTest(is_own=is_own):
                got, is_reset = uvloop.run(_leave_in_body(is_own))
                self.assertLess(got, len(LONG_BODY))
                self.assertTrue(is_reset)
