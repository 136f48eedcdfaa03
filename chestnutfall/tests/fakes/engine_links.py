"""Links to fake engines, and to a plain upstream, that carry HTTP answers."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from ...clock import Clock
from ...engine_edge import AnswerEvent, Batches, EngineBroken, EngineRefused, EngineRequest
from ...forwarding.forwarded_call import ForwardedCall
from ...forwarding.upstream_answer import UpstreamAnswer
from ...forwarding.upstream_api import AnswerLost, NotSent, UpstreamApi
from ...signals import NO_SIGNALS
from .fake_engine import FakeEngines

NEVER_MS = 1_000_000
"""Longer than any request of a test waits."""
PLAIN_MS = 50
"""Time before each of the two parts of a plain answer."""
PLAIN_PARTS = (b"who", b"le")


class EngineLinks(UpstreamApi):
    """Sends calls to `FakeEngines`, and to one plain upstream at any other address.

    Attributes
    ----------
    plain_runs : int
        Calls that the plain upstream ran.
    silent_until_ms : int
        Clock time until which the plain upstream writes nothing.
    """

    def __init__(self, engines: FakeEngines, clock: Clock) -> None:
        self._engines = engines
        self._clock = clock
        self._requests: dict[str, EngineRequest] = {}
        self.plain_runs = 0
        self.silent_until_ms = 0

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        if forwarded.upstream.address not in self._engines.by_address:
            self.plain_runs += 1
            yield UpstreamAnswer(200, (), None, NO_SIGNALS, self._plain_body())
            return
        call = forwarded.call
        if call.method == "DELETE":
            await self._engines.cancel(forwarded.upstream, call.target.rpartition("/")[2])
            yield UpstreamAnswer(200, (), None, NO_SIGNALS, _parts())
            return
        batches = self._batches(forwarded)
        try:
            first = await anext(batches)
            body = _written(first, batches, call.method == "GET" or _is_stream(call.body))
            yield UpstreamAnswer(200, (), None, NO_SIGNALS, body)
        except EngineRefused as exc:
            if exc.code == "engine_unreachable":
                raise NotSent(str(exc)) from exc
            error = {"code": exc.code, "message": str(exc), "ran": False}
            body = _parts(json.dumps({"error": error}).encode())
            yield UpstreamAnswer(409, (), None, NO_SIGNALS, body)
        except EngineBroken as exc:
            raise AnswerLost(str(exc)) from exc
        finally:
            await batches.aclose()

    def _batches(self, forwarded: ForwardedCall) -> Batches:
        call = forwarded.call
        if call.method == "GET":
            req = self._requests[call.target.rpartition("/")[2]]
            after = int(dict(call.headers)["Last-Event-ID"])
            return self._engines.resume(forwarded.upstream, req, after)
        req = EngineRequest(
            call.request_id,
            call.target,
            json.loads(call.body)["model"],
            call.body,
            _is_stream(call.body),
            0,
            False,
            NEVER_MS,
            NEVER_MS,
            {},
        )
        self._requests[req.attempt_id] = req
        return self._engines.run(forwarded.upstream, req)

    async def _plain_body(self) -> AsyncIterator[bytes]:
        for part in PLAIN_PARTS:
            left_ms = self.silent_until_ms - self._clock.now_ms()
            await self._clock.sleep_ms(max(left_ms, 0) + PLAIN_MS)
            yield part


def _is_stream(body: bytes) -> bool:
    return bool(json.loads(body)["stream"])


async def _parts(*parts: bytes) -> AsyncIterator[bytes]:
    for part in parts:
        yield part


async def _written(
    first: Sequence[AnswerEvent], batches: Batches, stream: bool
) -> AsyncIterator[bytes]:
    try:
        yield _text(first, stream)
        async for events in batches:
            yield _text(events, stream)
    except EngineBroken as exc:
        raise AnswerLost(str(exc)) from exc


def _text(events: Sequence[AnswerEvent], stream: bool) -> bytes:
    if not stream:
        return events[0].data
    return b"".join(b"id: %d\ndata: %s\n\n" % (one.number, one.data) for one in events)
