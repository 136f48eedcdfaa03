"""Changes of the configuration while requests of callers are in progress.

Guards against a change that ends a request that began under the earlier configuration, and against
a request that ends without a refusal since its caller, adapter or service has gone.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from ..requests import key_digest
from .fakes.caller_edge_case import CallerEdgeCase, Reply

GONE: Any = None
"""Removes an entry of the configuration."""


class CompletionConfigTest(CallerEdgeCase):
    async def _begin(self, *parts: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send the first parts of a request."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for part in parts:
            writer.write(part)
        for _ in range(20):
            await self.step()
        return reader, writer

    def _head(self, method: str, path: str, length: int) -> bytes:
        lines = (
            f"{method} {path} HTTP/1.1",
            "Host: x",
            "Authorization: Bearer ana",
            "Connection: close",
            f"Content-Length: {length}",
        )
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def _refusal_of(self, method: str, path: str, body: bytes, change: Any) -> bytes:
        head = self._head(method, path, len(body))
        reader, writer = await self._begin(head, body[:5])
        await self.change(change)
        writer.write(body[5:])
        got: bytes = await self.finish(reader.read())
        writer.close()
        return got

    # Guards against a KeyError for a caller that has gone while the body was on its way.
    async def test_a_caller_that_goes_while_its_body_comes_is_refused(self) -> None:
        body = json.dumps({"model": "a1@1"}).encode()
        for path in ("/v1/completions", "/counter/x"):
            with self.subTest(path):
                got = await self._refusal_of("POST", path, body, {"callers": {"ana": GONE}})
                self.assertIn(b" 401 ", got.splitlines()[0])
                self.assertIn(b'"code": "invalid_key"', got)
                self.assertIn(b"X-Executed: no", got)
                await self.change(self._caller())
        self.assertEqual(self.ends(), {"refused": 2})

    def _caller(self) -> dict[str, Any]:
        caller = {"key_sha256": key_digest("ana"), "adapters": ["*"], "services": ["counter"]}
        return {"callers": {"ana": caller}}

    # Guards against a KeyError for a model or a plain service that has gone meanwhile.
    async def test_what_goes_while_the_body_comes_is_refused(self) -> None:
        body = json.dumps({"model": "a3@1"}).encode()
        got = await self._refusal_of("POST", "/v1/completions", body, {"adapters": {"a3": GONE}})
        self.assertIn(b" 404 ", got.splitlines()[0], got)
        gone = {"services": {"counter": GONE}, "callers": {"ana": {"services": []}}}
        got = await self._refusal_of("POST", "/counter/x", body, gone)
        self.assertIn(b" 404 ", got.splitlines()[0], got)
        self.assertEqual(self.ends(), {"refused": 2})

    # Guards against a change that ends a stream, of the same route or of another one.
    async def test_streams_that_have_begun_end_whole(self) -> None:
        for engine, _ in self.office.announced.values():
            engine.tokens = 300
        changes = (
            {"callers": {"ana": GONE}},
            self._caller(),
            {"adapters": {"a1": GONE}},
            {"services": {"counter": GONE}, "callers": {"ana": {"services": []}}},
            {"limits": {"default": {"request_ms": 200}}},
            {"services": {"redactor-ia": {"silent_ms": 150}}},
        )
        task = asyncio.ensure_future(self.post("a1@1"))
        for _ in range(60):
            await self.step()
        self.assertFalse(task.done())
        for change in changes:
            await self.office.control.change({"base": change})
            await self.step()
        reply: Reply = await self.finish(_wait(task))
        self.assertEqual((reply[0], reply[1].endswith(b"[DONE]\n\n")), (200, True))
        self.assertEqual(self.ends(), {"answered": 1})

    # Guards against a request without an end while its adapter waits to be loaded and goes.
    async def test_a_request_that_waits_for_a_ticket_ends(self) -> None:
        task = asyncio.ensure_future(self.post("a5@1"))
        for _ in range(3):
            await self.step()
        await self.office.control.change({"base": {"adapters": {"a5": GONE}}})
        await self.office.control.change({"base": {"callers": {"ana": GONE}}})
        status, _, headers = await self.finish(_wait(task))
        self.assertEqual((status, headers.get("X-Executed", "yes")), (200, "yes"))
        self.assertEqual(self.ends(), {"answered": 1})


async def _wait(task: asyncio.Task[Any]) -> Any:
    return await task
