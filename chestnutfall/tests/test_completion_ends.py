"""Ends of callers' requests: each has a reason, one log line and one count.

Guards against requests that end without a line of ours, and against log lines that blame the caller
for what the gateway or an engine did.
"""

from __future__ import annotations

import asyncio
import json

from ..caller_edge.request_ending import log as ending_log
from .fakes.caller_edge_case import BROKEN, CallerEdgeCase


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
        self.assertEqual(self.gateway.quarantine._reports, set())
        self.assertEqual(self.metrics.counts["retries"], 0)
