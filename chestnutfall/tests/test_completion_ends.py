"""Ends of callers' requests: each has a reason, one log line and one count.

Guards against requests that end without a line of ours, and against log lines that blame the caller
for what the gateway or an engine did.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from contextlib import suppress
from typing import Any, get_args
from unittest.mock import patch

from aiohttp import web

from ..caller_edge import request_ends
from ..caller_edge.request_end import (
    Answered,
    BrokenOff,
    CallerLeft,
    Failed,
    Refused,
    RequestEnd,
    Stopped,
)
from ..caller_edge.request_ends import READ_WITHIN_MS, RequestEnds
from ..caller_edge.request_ends import log as ending_log
from ..caller_edge.request_progress import RequestProgress
from ..clock import ManualClock
from ..observability.metrics import Metrics
from ..requests import Executed, Refusal
from .fakes.caller_edge_case import BROKEN, CallerEdgeCase

HUGE = b"x" * 16_000_000
"""More than the buffers of both ends of a connection hold."""
UNREAD_S = 0.1
UNSENT_BYTES = 0x10000
"""Bytes that aiohttp takes from writes before one waits until the connection takes more."""


class CompletionEndTest(CallerEdgeCase):
    async def test_a_whole_answer_ends_as_answered(self) -> None:
        for stream in (True, False):
            with self.subTest(stream=stream), self.assertLogs(ending_log, "INFO") as logs:
                status, body, _ = await self.finish(self.post(stream=stream))
                self.assertEqual((status, body.endswith(b"[DONE]\n\n")), (200, stream))
                self.assertEqual(len(logs.output), 1)
                self.assertIn("reason=answered status=200", logs.output[0])
        self.assertEqual(self.ends(), {"answered": 2})

    # Guards against a refusal without a count, or with two.
    async def test_a_refusal_ends_as_refused(self) -> None:
        with self.assertLogs(ending_log, "INFO") as logs:
            status, body, _ = await self.finish(self.post(model="unknown@1"))
        self.assertEqual((status, json.loads(body)["error"]["code"]), (404, "model_not_found"))
        self.assertEqual(len(logs.output), 1)
        self.assertIn("reason=refused status=404 code=model_not_found executed=no", logs.output[0])
        self.assertEqual(self.ends(), {"refused": 1})

    # Guards against a broken stream that looks whole, or whose break looks like the caller's.
    async def test_a_stream_that_can_not_go_on_ends_as_broken_off(self) -> None:
        for engine, _ in self.office.announced.values():
            engine.faults["mixed_up"] = 1
        status, body, _ = await self.finish(self.post())
        self.assertEqual(status, 200)
        self.assertIn(b'"code": "wrong_answer"', body)
        self.assertTrue(body.endswith(BROKEN))
        self.assertEqual(self.ends(), {"broken_off": 1})

    # Guards against a caller that leaves unseen, or counts as an end of the engine.
    async def test_a_caller_that_leaves_ends_as_such(self) -> None:
        for engine, _ in self.office.announced.values():
            engine.tokens = 500
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        body = json.dumps({"model": "a1@1", "stream": True}).encode()
        head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ana\r\n"
        writer.write(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        for _ in range(50):
            await self.step()
        writer.close()
        for _ in range(50):
            await self.step()
        self.assertEqual(self.ends(), {"caller_left": 1})
        self.assertEqual(len(self.gateway.quarantine._checks), 0)
        self.assertEqual(self.metrics.counts["retries"], 0)


class EndReasonTest(unittest.IsolatedAsyncioTestCase):
    """One request for each kind of `RequestEnd`, at a real server."""

    async def asyncSetUp(self) -> None:
        self.metrics = Metrics(None, "gateway")
        self.clock = ManualClock()
        self.ending = RequestEnds(self.clock, self.metrics)
        self.work: Any = None
        app = web.Application()
        app.router.add_get("/", self._serve)
        self.runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.port = self.runner.addresses[0][1]

    async def asyncTearDown(self) -> None:
        await self.runner.cleanup()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.request = request
        return await self.ending.serve(request, self.work)

    async def _get(self) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        got = await reader.read()
        writer.close()
        return got

    async def _answer(self, progress: RequestProgress) -> web.StreamResponse:
        return web.Response(text="whole")

    async def _refuse(self, progress: RequestProgress) -> web.StreamResponse:
        raise Refusal(429, "rate_limited", "over", Executed.NO, 1_000)

    async def _break_off(self, progress: RequestProgress) -> web.StreamResponse:
        progress.stream = web.StreamResponse()
        await progress.stream.prepare(self.request)
        await progress.stream.write(b"begun")
        raise Refusal(502, "engine_connection_lost", "lost", Executed.YES)

    async def _leave(self, progress: RequestProgress) -> web.StreamResponse:
        assert self.request.transport is not None
        self.request.transport.abort()
        return web.Response(text="to nobody")

    async def _cancel(self, progress: RequestProgress) -> web.StreamResponse:
        task = asyncio.current_task()
        assert task is not None
        task.cancel()
        await asyncio.sleep(0)
        raise AssertionError("not cancelled")

    async def _fail(self, progress: RequestProgress) -> web.StreamResponse:
        raise KeyError("gone")

    # Guards against an end without a line of the log, and against a reason that no test has seen.
    async def test_each_reason_has_its_answer_its_line_and_its_count(self) -> None:
        cases: dict[Any, tuple[Any, str, bytes]] = {
            Answered: (self._answer, "answered", b"200 OK"),
            Refused: (self._refuse, "refused", b"429"),
            BrokenOff: (self._break_off, "broken_off", b"engine_connection_lost"),
            CallerLeft: (self._leave, "caller_left", b""),
            Stopped: (self._cancel, "stopped", b""),
            Failed: (self._fail, "failed", b"503 Service Unavailable"),
        }
        self.assertEqual(set(cases), set(get_args(RequestEnd)))
        for work, reason, seen in cases.values():
            with self.subTest(reason), self.assertLogs(ending_log, "INFO") as logs:
                self.work = work
                got = await self._get()
                self.assertIn(seen, got)
                self.assertEqual(bool(got), bool(seen))
                self.assertEqual(len(logs.output), 1)
                self.assertIn(f"reason={reason} ", logs.output[0])
                self.assertEqual(self.metrics.counts[f"ends.{reason}"], 1)

    async def _begin_unread(self, fill: Any) -> tuple[Any, asyncio.StreamWriter]:
        """Begin a stream whose caller reads nothing; return some time after `fill`."""
        blocked = asyncio.Event()

        async def stream_and_fail(progress: RequestProgress) -> web.StreamResponse:
            progress.stream = web.StreamResponse()
            await progress.stream.prepare(self.request)
            await fill(progress.stream)
            blocked.set()
            raise Refusal(502, "engine_connection_lost", "lost", Executed.YES)

        self.work = stream_and_fail
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await blocked.wait()
        await asyncio.sleep(UNREAD_S)
        return reader, writer

    # Guards against a request that is held for as long as its caller reads nothing.
    async def test_a_stream_is_broken_off_though_its_caller_reads_nothing(self) -> None:
        reader, writer = await self._begin_unread(_write_without_waiting)
        await self.clock.advance(READ_WITHIN_MS - 1)
        self.assertEqual(self.metrics.counts["ends.broken_off"], 0)
        await self.clock.advance(1)
        await asyncio.sleep(UNREAD_S)
        self.assertEqual(self.metrics.counts["ends.broken_off"], 1)
        got = b""
        with suppress(ConnectionError):
            got = await reader.read()
        self.assertLess(len(got), len(HUGE))
        self.assertNotIn(b"engine_connection_lost", got)
        writer.close()

    # Guards against a stream whose time was up in a write, and which ends as failed.
    async def test_a_stream_is_broken_off_after_a_write_that_was_cancelled(self) -> None:
        _, writer = await self._begin_unread(_write_until_cancelled)
        self.assertEqual(self.metrics.counts["ends.broken_off"], 1)
        writer.close()

    # Guards against connections of such callers that stay open for ever.
    async def test_the_connection_of_a_caller_that_reads_nothing_is_closed(self) -> None:
        async def fill(stream: web.StreamResponse) -> None:
            with suppress(TimeoutError):
                await asyncio.wait_for(stream.write(HUGE), UNREAD_S)

        with patch.object(request_ends, "READ_WITHIN_MS", UNREAD_S * 5_000):
            _, writer = await self._begin_unread(fill)
            self.assertEqual(self.metrics.counts["ends.broken_off"], 1)
            assert self.runner.server is not None
            self.assertEqual(len(self.runner.server.connections), 1)
            async with asyncio.timeout(UNREAD_S * 50):
                while self.runner.server.connections:
                    await asyncio.sleep(UNREAD_S)
        writer.close()

    # Guards against an error event that can't be written and raises out of the handler unlogged.
    async def test_a_stream_that_breaks_after_its_caller_left_has_one_end(self) -> None:
        async def break_off(progress: RequestProgress) -> web.StreamResponse:
            progress.stream = web.StreamResponse()
            await progress.stream.prepare(self.request)
            assert self.request.transport is not None
            self.request.transport.abort()
            raise Refusal(502, "engine_connection_lost", "lost", Executed.YES)

        self.work = break_off
        with self.assertLogs(ending_log, "INFO") as logs, self.assertNoLogs("aiohttp", "ERROR"):
            await self._get()
        self.assertEqual(len(logs.output), 1)
        self.assertIn("reason=caller_left", logs.output[0])

    # Guards against "not run" for a request that an upstream may have run.
    async def test_an_unexpected_error_is_refused_with_what_may_have_run(self) -> None:
        for executed, status in ((Executed.NO, b" 503 "), (Executed.UNKNOWN, b" 502 ")):

            async def fail(progress: RequestProgress, executed: Executed = executed) -> Any:
                progress.executed = executed
                raise ConnectionError("of a link to another gateway")

            self.work = fail
            got = await self._get()
            self.assertIn(status, got)
            self.assertIn(b"X-Executed: " + executed.value.encode(), got)
        self.assertEqual(self.metrics.counts["ends.failed"], 2)


async def _write_without_waiting(stream: web.StreamResponse) -> None:
    assert stream._payload_writer is not None
    await stream._payload_writer.write(HUGE, drain=False)  # type: ignore[call-arg]


async def _write_until_cancelled(stream: web.StreamResponse) -> None:
    with suppress(TimeoutError):
        await asyncio.wait_for(stream.write(HUGE), UNREAD_S)
    # The next write waits.
    await stream.write(b"x" * (UNSENT_BYTES - 100))
