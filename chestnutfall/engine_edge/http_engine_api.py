"""Client for engines with the OpenAI API and server-sent events."""

from __future__ import annotations

import json
import logging
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiohttp

from ..accounts import AccountFull, MemoryAccount
from ..control.upstream_record import UpstreamRecord
from ..forwarding.call import Call
from ..forwarding.event_splitter import EventSplitter, StreamEvent
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import UpstreamAnswer
from ..forwarding.upstream_api import SILENT, AnswerLost, NotSent, UpstreamApi
from ..signals import NoBackoff
from ..wire.bounded_body import read_at_most
from ..wire.direct_connector import DirectConnector
from ..wire.single_send_session import single_send_session
from .answer_event import AnswerEvent
from .answer_validator import DONE
from .engine_api import Batches, EngineApi
from .engine_request import EngineRequest
from .engine_state import EngineState
from .errors import ENGINE_SILENT, ENGINE_UNREACHABLE, EngineBroken, EngineRefused
from .gap_limit import GapLimit
from .order import Order

log = logging.getLogger(__name__)
CANCEL_MS = 500
"""Longest wait for the answer to a cancellation, which nobody needs."""
IDLE_CONNECTION_S = 2.0
MAX_STATE_BYTES = 1024 * 1024
"""Longest state of an engine, or answer to an order; one in trouble may write without end."""
MAX_REFUSAL_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
TOO_LARGE = "engine_answer_too_large"
ATTEMPT_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
_BAD_REQUEST_STATUSES = (400, 413, 422)


class HttpEngineApi(EngineApi):
    """Runs, resumes and cancels through an `UpstreamApi`; state reads and orders over a pool."""

    def __init__(self, upstreams: UpstreamApi, memory: MemoryAccount) -> None:
        self._upstreams = upstreams
        self._memory = memory
        self._pool = single_send_session(
            DirectConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)
        )

    async def close(self) -> None:
        """Close the connections for state reads and orders."""
        await self._pool.close()

    def run(self, engine: UpstreamRecord, req: EngineRequest) -> Batches:
        headers = {
            ATTEMPT_HEADER: req.attempt_id,
            PRIORITY_HEADER: str(req.priority),
            "Content-Type": "application/json",
            **req.trace,
        }
        call = _call("POST", req.path, headers, req.attempt_id, req.body)
        sent = _forwarded(call, engine, req.begin_ms, req.fresh_connection)
        return _read_answer(self._upstreams.send(sent), req, self._memory)

    def resume(self, engine: UpstreamRecord, req: EngineRequest, after: int) -> Batches:
        headers = {"Last-Event-ID": str(after)}
        call = _call("GET", f"/v1/runs/{req.attempt_id}", headers, req.attempt_id)
        sent = _forwarded(call, engine, req.silent_ms, True)
        return _read_answer(self._upstreams.send(sent), req, self._memory)

    async def cancel(self, engine: UpstreamRecord, attempt_id: str) -> None:
        call = _call("DELETE", f"/v1/runs/{attempt_id}", {}, attempt_id)
        try:
            async with self._upstreams.send(_forwarded(call, engine, CANCEL_MS, True)):
                pass
        except (NotSent, AnswerLost) as exc:
            # The engine ends the run by itself when its client does not come back.
            log.debug("engine: cancel of %s failed: %s", attempt_id, exc)

    async def state(self, address: str, timeout_ms: float) -> EngineState:
        found = await self._request_json("GET", f"http://{address}/v1/state", None, timeout_ms)
        return EngineState(
            str(found["incarnation"]),
            int(found["slots"]),
            dict(found["adapters"]),
            dict(found["running"]),
        )

    async def order(self, address: str, order: Order, timeout_ms: float) -> str:
        body = {"kind": order.kind.value, "epoch": order.epoch, "adapter": order.adapter}
        found = await self._request_json("POST", f"http://{address}/v1/orders", body, timeout_ms)
        return str(found["outcome"])

    async def _request_json(self, method: str, url: str, body: Any, timeout_ms: float) -> Any:
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        try:
            # State reads and orders may be repeated without harm, so a pooled connection is safe:
            # if it is dead, this call times out and the next one gets another connection.
            async with self._pool.request(method, url, json=body, timeout=timeout) as resp:
                return json.loads(await read_at_most(resp, MAX_STATE_BYTES))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            raise ConnectionError(f"{url}: {exc!r}") from exc


def _call(
    method: str, target: str, headers: dict[str, str], attempt_id: str, body: bytes = b""
) -> Call:
    return Call(attempt_id, method, target, target, "", tuple(headers.items()), body, 0, 0)


def _forwarded(
    call: Call, engine: UpstreamRecord, silent_ms: float, fresh_connection: bool
) -> ForwardedCall:
    return ForwardedCall(
        call, engine, 0, 0, 0, None, runs_once=fresh_connection, silent_ms=silent_ms
    )


async def _read_answer(
    sending: AbstractAsyncContextManager[UpstreamAnswer],
    req: EngineRequest,
    memory: MemoryAccount,
) -> Batches:
    try:
        async with sending as answer:
            rejected = answer.status == 503 and isinstance(answer.signals.backoff, NoBackoff)
            req.on_signals(answer.signals, answer.status == 200, rejected)
            if answer.status != 200:
                await _raise_refusal(answer, req, memory)
            if not req.stream:
                body = await _read_body(answer, MAX_ANSWER_BYTES, req, memory)
                yield (AnswerEvent(1, body, last=True),)
                return
            splitter = EventSplitter()
            with GapLimit(req.silent_ms) as gap, memory.holder() as held:
                # The first part may take as long as the answer's head.
                gap.begin_wait(req.begin_ms)
                async for chunk in answer.body:
                    found = map(_parse_event, splitter.feed(chunk))
                    events = [event for event in found if event is not None]
                    held.resize(len(splitter))
                    # An engine in trouble may write without end; bytes alone are no progress.
                    if events:
                        gap.end_wait()
                        yield events
                        gap.begin_wait()
    except NotSent as exc:
        raise EngineRefused(ENGINE_UNREACHABLE, str(exc)) from exc
    except AccountFull as exc:
        raise EngineBroken(TOO_LARGE, str(exc)) from exc
    except AnswerLost as exc:
        if str(exc) == SILENT:
            raise EngineBroken(ENGINE_SILENT, "the engine fell silent") from exc
        raise EngineBroken("engine_connection_lost", str(exc)) from exc


async def _raise_refusal(answer: UpstreamAnswer, req: EngineRequest, memory: MemoryAccount) -> None:
    status = answer.status
    try:
        error = json.loads(await _read_body(answer, MAX_REFUSAL_BYTES, req, memory))["error"]
        code, message, ran = str(error["code"]), str(error["message"]), error.get("ran", True)
    except (ValueError, KeyError, TypeError):
        code, message, ran = "engine_error", f"status {status}", True
    # Only the engine's own statement that nothing ran is a proof; a bare 500 may follow half a
    # run.
    if ran is False or status in _BAD_REQUEST_STATUSES:
        raise EngineRefused(code, message, final=status in _BAD_REQUEST_STATUSES)
    raise EngineBroken(code, message)


async def _read_body(
    answer: UpstreamAnswer, max_bytes: int, req: EngineRequest, memory: MemoryAccount
) -> bytes:
    """Return the whole body of an answer, for which the engine has as long as for its head."""
    body = bytearray()
    with GapLimit(req.begin_ms) as gap, memory.holder() as held:
        gap.begin_wait()
        async for chunk in answer.body:
            body += chunk
            if len(body) > max_bytes:
                raise EngineBroken(TOO_LARGE, f"more than {max_bytes} bytes")
            held.resize(len(body))
    return bytes(body)


def _parse_event(event: StreamEvent) -> AnswerEvent | None:
    number = 0
    data = b""
    for line in event.data.split(b"\n"):
        if line.startswith(b"data:"):
            data = line[5:].lstrip()
        elif line.startswith(b"id:"):
            digits = line[3:].strip()
            number = int(digits) if digits.isdigit() else 0
    return AnswerEvent(number, data, last=data == DONE) if data else None
