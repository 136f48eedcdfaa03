"""Changes of the configuration in quick series, and beside a change of leader.

Guards against a change that ends a request which began before it, of the changed caller or of
another one, while an earlier change is still on its way; and against a request without an end.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from ..control.commands import Changed
from ..control.messages import ApplyChange
from ..forwarding.upstream_api import UpstreamApi
from ..requests import key_digest
from .fakes.caller_edge_case import BROKEN, STEP_MS, CallerEdgeCase, Reply
from .fakes.engine_links import EngineLinks
from .fakes.fake_control import ADMIN_KEY
from .fakes.fake_office import DIGEST

GONE: Any = None
"""Removes an entry of the configuration."""
HEAD_MS = 2_000
"""Time in which a request that was sent has not begun to be answered; some series take longer."""
TOKENS = 400
"""Events of a stream, 10 ms apart."""
PLAIN_ADDRESS = "127.0.0.1:9999"
CALLERS = ("ana", "ben")
"""The caller whose configuration changes, and another one."""
STREAMED = {"ana": "a1@1", "ben": "a2@1"}
ADAPTER = {"service": "redactor-ia", "versions": {"1": DIGEST}}
COUNTER = {
    "kind": "plain",
    "path": "/counter",
    "announce_key_sha256": key_digest("counter"),
    "silent_ms": 1_000,
}
UNLOADED = {"ana": "a3@1", "ben": "a4@1"}


def _caller(name: str, **more: Any) -> dict[str, Any]:
    entry = {"key_sha256": key_digest(name), "adapters": ["*"], "services": ["counter"], **more}
    return {"callers": {name: entry}}


def _merged(*changes: dict[str, Any]) -> dict[str, Any]:
    return {"callers": {name: one for change in changes for name, one in change["callers"].items()}}


CHANGES: tuple[dict[str, Any], ...] = (
    {"callers": {"ana": GONE}},
    _caller("ana"),
    {"adapters": {"a1": GONE}},
    {"adapters": {"a3": GONE}},
    {"adapters": {"a1": ADAPTER, "a3": ADAPTER}},
    _caller("ana", key_sha256=key_digest("new")),
    _caller("ana"),
    _caller("ana", adapters=["a8"], services=[]),
    _caller("ana"),
    {"services": {"counter": GONE}, "callers": {one: {"services": []} for one in CALLERS}},
    {"services": {"counter": COUNTER}, **_merged(*(_caller(one) for one in CALLERS))},
    {"limits": {"default": {"request_ms": 30_000}}},
    {"services": {"redactor-ia": {"silent_ms": 150}}},
    {"services": {"redactor-ia": {"silent_ms": 1_000}}},
)
"""One change of each kind, each followed by its reverse."""


class CompletionSeriesTest(CallerEdgeCase):
    engines = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.change(_caller("ben"))
        self.announce_plain(PLAIN_ADDRESS)
        self.writers: list[asyncio.StreamWriter] = []
        self.applying = asyncio.Lock()

    async def asyncTearDown(self) -> None:
        for writer in self.writers:
            writer.close()
        await super().asyncTearDown()

    def _upstream_api(self) -> UpstreamApi:
        self.plain_links = EngineLinks(self.office.engines, self.office.clock)
        return self.plain_links

    # Requests in each state

    async def _pass(self, ms: int) -> None:
        for _ in range(ms // STEP_MS):
            await self.step()

    def _post(self, caller: str, model: str) -> asyncio.Future[Reply]:
        headers = {"Authorization": f"Bearer {caller}", "X-Timeout-Ms": "20000"}
        return asyncio.ensure_future(self.post(model, True, **headers))

    async def _begin(self) -> dict[str, asyncio.Future[Reply]]:
        """Return requests that have begun, were sent, or wait for a ticket."""
        engines = [engine for engine, _ in self.office.announced.values()]
        for engine in engines:
            engine.head_ms, engine.tokens = 0, TOKENS
        calls = {f"begun {one}": self._post(one, STREAMED[one]) for one in CALLERS}
        await self._pass(600)
        for engine in engines:
            engine.head_ms = HEAD_MS
        self.plain_links.silent_until_ms = self.office.clock.now_ms() + HEAD_MS
        for one in CALLERS:
            calls[f"sent {one}"] = self._post(one, STREAMED[one])
            headers = {"Authorization": f"Bearer {one}"}
            plain = self.send("POST", "/counter/x", b"body", **headers)
            calls[f"plain {one}"] = asyncio.ensure_future(plain)
        await self._pass(50)
        for one in CALLERS:
            calls[f"waits {one}"] = self._post(one, UNLOADED[one])
        await self._pass(50)
        return calls

    async def _half_read(self, caller: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection on which a half of a request was sent."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        body = self._body(caller)
        lines = (
            "POST /v1/completions HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {caller}",
            "Connection: close",
            f"Content-Length: {len(body)}",
        )
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body[:5])
        return reader, writer

    def _body(self, caller: str) -> bytes:
        return json.dumps({"model": STREAMED[caller]}).encode()

    # Changes

    async def _apply(self, change: dict[str, Any]) -> None:
        """Put a change in force at this gateway, once there is a leader; one after the other."""
        async with self.applying:
            await self._apply_next(change)

    async def _apply_next(self, change: dict[str, Any]) -> None:
        control = self.office.control
        change_id = f"change {control.state.revision} {self.office.clock.now_ms()}"
        while True:
            text = json.dumps({"base": change})
            msg = ApplyChange(ADMIN_KEY, change_id, control.state.revision, text, "", False)
            reply = await control.service.handle(msg)
            if isinstance(reply, Changed):
                break
            await self.office.clock.sleep_ms(STEP_MS)
        await self.gateway.agent.send_heartbeat()

    async def _change_in_series(self, pause_ms: int, new_leader: bool) -> list[Any]:
        """Make all changes; return connections on which the rest of a request came after each."""
        applying, half_read = [], []
        for number, change in enumerate(CHANGES):
            half_read.append((number, [(one, await self._half_read(one)) for one in CALLERS]))
            if new_leader and number % 5 == 1:
                self.office.control.cluster.replicas["a"].step_down()
            applying.append(asyncio.ensure_future(self._apply(change)))
            await self._pass(pause_ms)
            for one, (_, writer) in half_read[-1][1]:
                writer.write(self._body(one)[5:])
        for task in applying:
            await self.finish(_wait(task))
        return half_read

    async def _check_series(self, pause_ms: int, new_leader: bool) -> None:
        terms = self.office.control.cluster.replicas["a"].term
        calls = await self._begin()
        half_read = await self._change_in_series(pause_ms, new_leader)
        for name, call in calls.items():
            status, body, _ = await self.finish(_wait(call))
            self.assertEqual(status, 200, (name, body))
            end = b"whole" if name.startswith("plain") else b"[DONE]\n\n"
            self.assertTrue(body.endswith(end), (name, body[-200:]))
        for number, connections in half_read:
            for one, (reader, _) in connections:
                got = await self.finish(reader.read())
                self._assert_true_end(got, one, (number, one))
        self.assertEqual(
            [engine.evicted_while_serving for engine, _ in self.office.announced.values()],
            [0] * self.engines,
        )
        self.assertEqual(set(self.ends()) - {"answered", "refused"}, set())
        self.assertEqual(new_leader, self.office.control.cluster.replicas["a"].term > terms)

    def _assert_true_end(self, got: bytes, caller: str, where: object) -> None:
        """Check for a whole answer, or a refusal of what did not run and is not granted now."""
        head, _, body = got.partition(b"\r\n\r\n")
        self.assertNotIn(BROKEN, got)
        if b" 200 " in head.splitlines()[0]:
            self.assertIn(b'"text"', body, where)
            return
        self.assertEqual(caller, "ana", (where, got))
        self.assertIn(head.split()[1], (b"401", b"404"), (where, got))
        self.assertIn(b"X-Executed: no", head, (where, got))

    async def test_changes_30_ms_apart(self) -> None:
        await self._check_series(30, new_leader=False)

    async def test_changes_300_ms_apart(self) -> None:
        await self._check_series(300, new_leader=False)

    async def test_changes_30_ms_apart_beside_a_change_of_leader(self) -> None:
        await self._check_series(30, new_leader=True)

    async def test_changes_300_ms_apart_beside_a_change_of_leader(self) -> None:
        await self._check_series(300, new_leader=True)


async def _wait(task: asyncio.Future[Any]) -> Any:
    return await task
