"""Decoding of the platform's headers and settings file, and forwarding to its upstreams."""

from __future__ import annotations

import asyncio
import tomllib
import unittest
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from multidict import CIMultiDict
from yarl import URL

from ..clock import SystemClock
from ..connections import ConnectionPool
from ..control.upstream_record import UpstreamRecord
from ..forwarding.call import Call
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import NotRun
from ..forwarding.upstream_api import AnswerLost, NotSent
from ..limits import DeclaredLimit
from ..placement import AdapterName, PromptPart
from ..platform import header_names as names
from ..platform.call_reader import read_call
from ..platform.listening import listen
from ..platform.node_file import to_settings
from ..platform.standin.node_writer import NodePlan, Ports, write_node_file
from ..platform.upstream_http import UpstreamHttp
from ..resumption.remembered_attempt import MAX_ID_CHARACTERS
from ..settings.host_place import HostPlace
from ..signals import AskedBackoff, UnreadHeaders, UpstreamLoad, UpstreamSignals

TARGETS = ("/a/x?", "/a/x", "/a/x#y", "/a//x/../y", "/a/x?y=1&&z", "/a/%2f%7E?q=a+b", "/a/x?#")

HEADERS = {
    "Host": "a.example",
    "X-Request-Id": "id-1",
    "X-Deadline-Ms": "900",
    "X-Model": "base/a1",
    "X-Token-Counts": "1460,80",
    "X-Prompt-Prefix": "5c:800,91:410",
    "X-Hold": "h-1",
    "Kv-From": "127.0.0.1:1/x",
    "X-Custom": "kept",
}


class CallReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_headers_become_fields_and_internal_ones_are_not_forwarded(self) -> None:
        calls: list[Call] = []

        async def on_call(request: web.BaseRequest) -> web.Response:
            calls.append(read_call(request, await request.read(), 1000))
            return web.Response()

        runner = await listen(web.Server(on_call), "127.0.0.1:0")
        port = runner.addresses[0][1]
        async with aiohttp.ClientSession() as session:
            url = URL(f"http://127.0.0.1:{port}/a/x?y=%2F", encoded=True)
            await session.post(url, headers=HEADERS, data=b"body")
        await runner.cleanup()
        call = calls[0]
        self.assertEqual((call.method, call.target, call.path), ("POST", "/a/x?y=%2F", "/a/x"))
        self.assertEqual((call.host, call.body, call.deadline_ms), ("a.example", b"body", 1900))
        self.assertEqual(call.adapter, AdapterName("base", "a1"))
        self.assertEqual((call.prompt_tokens, call.output_tokens), (1460, 80))
        self.assertEqual(call.parts, (PromptPart("5c", 800), PromptPart("91", 410)))
        passed = {name.lower() for name, _ in call.headers}
        self.assertIn("x-custom", passed)
        self.assertIn("x-model", passed)
        self.assertFalse(passed & {"x-hold", "kv-from", "x-deadline-ms", "content-length"})

    def test_the_attempt_that_a_client_goes_on_with_is_read_if_it_names_one(self) -> None:
        self.assertEqual(self._resumed("id-0"), "id-0")
        for malformed in ((), ("",), ("id-0", "id-1"), ("x" * (MAX_ID_CHARACTERS + 1),)):
            with self.subTest(named=malformed):
                self.assertEqual(self._resumed(*malformed), "")

    def _resumed(self, *named: str) -> str:
        headers = CIMultiDict([("Host", "a.example"), *(("Resumes", one) for one in named)])
        return read_call(make_mocked_request("POST", "/a/x", headers=headers), b"", 0).resumes


class NodeFileTest(unittest.TestCase):
    def test_fields_of_the_node_file_become_settings(self) -> None:
        plan = NodePlan("127.0.0.9", "c1", "/data", ("127.0.0.9", "127.0.0.8"), True)
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            write_node_file(path, plan, Ports(1, 2, 3, 4))
            settings = to_settings(tomllib.loads(path.read_text("utf-8")))
        self.assertEqual(settings.controllers, ("127.0.0.9:4", "127.0.0.8:4"))
        self.assertEqual(settings.control_listen, "127.0.0.9:3")
        self.assertEqual((settings.tolerated_losses, settings.grace_ms), (1, 8000))

    def test_losses_that_are_tolerated_and_the_place_of_the_host_are_read(self) -> None:
        # Only the machines were read, so that a tolerated zone took all acknowledged changes along.
        plan = NodePlan("127.0.0.9", "c1", "/data", ("127.0.0.9", "127.0.0.8"), True)
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            write_node_file(path, plan, Ports(1, 2, 3, 4))
            node = tomllib.loads(path.read_text("utf-8"))
        node["tolerate"] |= {"zones": 1, "regions": 2}
        settings = to_settings(node | {"region": "south", "loss_counts": False})
        losses = (settings.tolerated_data_centres, settings.tolerated_regions)
        self.assertEqual(losses, (1, 2))
        self.assertEqual(settings.place, HostPlace("dc", "south", counts=False))
        settings = to_settings(node | {"zones": {"dc": "north"}})
        self.assertEqual(settings.place, HostPlace("dc", "north", counts=True))


class UpstreamHttpTest(unittest.IsolatedAsyncioTestCase):
    """Requests to upstreams, and what the gateway concludes from their answers."""

    async def asyncSetUp(self) -> None:
        self.status = 200
        self.named = True
        self.request_id = "id-1"
        self.target = "/a/x?y=%2F"
        self.aborts = False
        self.method = "GET"
        self.headers: dict[str, str] = {}
        self.seen: list[web.BaseRequest] = []
        self.runner = await listen(web.Server(self._on_call), "127.0.0.1:0")
        self.port = self.runner.addresses[0][1]
        self.counts: Counter[str] = Counter()
        self.pool = ConnectionPool(lambda service, instance: 4, lambda name: None, SystemClock())
        unread = UnreadHeaders(names.ANSWER_HEADERS, lambda name: self.counts.update([name]))
        self.api = UpstreamHttp(unread, self.pool, SystemClock())

    async def asyncTearDown(self) -> None:
        await self.api.close()
        await self.runner.cleanup()

    async def _on_call(self, request: web.BaseRequest) -> web.Response:
        self.seen.append(request)
        if self.aborts and request.transport is not None:
            request.transport.abort()
        named = {"X-Request-Id": self.request_id} if self.named else {}
        headers = {"X-Instance-Load": "2,1,6"} | named | self.headers
        return web.Response(status=self.status, headers=headers, body=b"answer")

    def _forwarded(self, port: int = 0) -> ForwardedCall:
        now_ms = SystemClock().now_ms()
        call = Call(
            self.request_id, self.method, self.target, "/a/x", "a.example",
            (("X-Custom", "kept"),), b"", now_ms, now_ms + 1000, AdapterName("base", "a1"),
        )  # fmt: skip
        upstream = UpstreamRecord("i1", "s", f"127.0.0.1:{port or self.port}", "dc")
        return ForwardedCall(call, upstream, 3, 1, 700, 5, True, 500)

    async def _send(self) -> tuple[int, NotRun | None, UpstreamLoad | None, bytes]:
        async with self.api.send(self._forwarded()) as answer:
            body = b"".join([data async for data in answer.body])
            return answer.status, answer.not_run, answer.signals.load, body

    async def test_the_request_arrives_unchanged_with_headers_for_the_engine(self) -> None:
        found = await self._send()
        self.assertEqual(found, (200, None, UpstreamLoad(2, 1, 6), b"answer"))
        request = self.seen[0]
        self.assertEqual(request.raw_path, "/a/x?y=%2F")
        expected = {
            "X-Custom": "kept",
            "X-Expect-Instance": "i1",
            "X-Expect-Version": "3",
            "X-Request-Priority": "1",
            "X-Deadline-Ms": "700",
            "Last-Event-Id": "5",
        }
        self.assertEqual({name: request.headers[name] for name in expected}, expected)
        self.assertNotIn("User-Agent", request.headers)

    # Guards against an upstream that runs another request than its client sent.
    async def test_the_target_arrives_as_the_client_named_it(self) -> None:
        for target in TARGETS:
            self.target = target
            await self._send()
            self.assertEqual(self.seen[-1].raw_path, target)

    # Guards against hundreds of kept connections that remember ids of many kilobytes.
    async def test_a_connection_is_kept_behind_a_request_with_a_short_id(self) -> None:
        for characters, kept in ((4, 1), (4_000, 0)):
            self.request_id = "x" * characters
            await self._send()
            self.assertEqual(len(self.pool), kept)

    async def test_answers_that_prove_that_the_request_did_not_run(self) -> None:
        cases = (
            (503, {"X-Not-Executed": "1"}, NotRun.FULL),
            (421, {"X-Instance-Id": "i2"}, NotRun.REPLACED),
            (421, {"X-Instance-Id": "i1"}, NotRun.ABSENT),
            (503, {}, None),
            (500, {}, None),
        )
        for self.status, self.headers, expected in cases:
            with self.subTest(status=self.status, headers=self.headers):
                self.assertEqual((await self._send())[1], expected)

    async def test_signals_in_the_headers_of_an_answer(self) -> None:
        self.status = 503
        self.headers = {"Retry-After": "1.5", "Server-Leaving": "1", "Server-Limit": "4"}
        async with self.api.send(self._forwarded()) as answer:
            signals = answer.signals
        expected = UpstreamSignals(
            DeclaredLimit(4.0), AskedBackoff(1_500), True, UpstreamLoad(2, 1, 6)
        )
        self.assertEqual(signals, expected)

    # Guards against a new signal header of upstreams that is ignored without a trace.
    async def test_an_unknown_header_is_counted_by_its_name(self) -> None:
        self.headers = {"Server-Wish": "more", "X-Response-Stamp": "s", "X-Weight-Versions": "1"}
        with self.assertLogs(level="WARNING"):
            await self._send()
        self.assertEqual(self.counts, {"unread_header_server_wish": 1})

    async def test_a_request_whose_connection_breaks_is_sent_once(self) -> None:
        # Guards against a request that runs twice: its connection breaks after the first run, and
        # the HTTP client repeats it because its method is idempotent.
        self.aborts = True
        for self.method in ("GET", "PUT", "DELETE", "POST"):
            with self.subTest(self.method):
                self.seen.clear()
                with self.assertRaises(AnswerLost):
                    await self._send()
                self.assertEqual(len(self.seen), 1)

    async def test_an_answer_to_another_request_is_lost(self) -> None:
        self.headers = {"X-Request-Id": "id-2"}
        with self.assertRaises(AnswerLost):
            await self._send()

    async def test_a_success_that_names_no_request_is_lost(self) -> None:
        # Guards against a caller that gets the whole answer to another request, which can't be
        # noticed when the answer names no request.
        self.named = False
        with self.assertRaises(AnswerLost):
            await self._send()
        self.status, self.headers = 503, {"X-Not-Executed": "1"}
        self.assertEqual((await self._send())[1], NotRun.FULL)

    async def test_a_refused_connection_proves_that_nothing_ran(self) -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        with self.assertRaises(NotSent):
            async with self.api.send(self._forwarded(port)):
                pass
