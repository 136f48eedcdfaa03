"""HTTP client for engines with the OpenAI API and server-sent events."""

from __future__ import annotations

import json
from typing import Any

import aiohttp

from ..signals import UnreadHeaders, read_signals
from ..signals.own_headers import OWN_SIGNALS
from ..wire.single_send_session import single_send_session
from .answer_event import AnswerEvent
from .answer_validator import DONE
from .engine_api import Batches, EngineApi
from .engine_request import EngineRequest
from .engine_state import EngineState
from .errors import EngineBroken, EngineRefused
from .order import Order

CONNECT_TIMEOUT_MS = 500
IDLE_CONNECTION_S = 2.0
MAX_EVENT_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
ATTEMPT_HEADER = "X-Request-Id"
PRIORITY_HEADER = "X-Priority"
_EVENT_END = b"\n\n"
_BAD_REQUEST_STATUSES = (400, 413, 422)


class HttpEngineApi(EngineApi):
    """HTTP client with one pool of connections to all engines.

    A connection returns to the pool only after its answer was read to the end (aiohttp closes it
    otherwise), so a later request on the connection cannot read the rest of an earlier answer.
    """

    def __init__(self, unread: UnreadHeaders) -> None:
        self._unread = unread
        self._pool = single_send_session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)
        )
        self._fresh = single_send_session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.close()
        await self._fresh.close()

    def run(self, address: str, req: EngineRequest) -> Batches:
        session = self._fresh if req.fresh_connection else self._pool
        headers = {
            ATTEMPT_HEADER: req.attempt_id,
            PRIORITY_HEADER: str(req.priority),
            "Content-Type": "application/json",
            **req.trace,
        }
        call = session.post(
            f"http://{address}{req.path}",
            data=req.body,
            headers=headers,
            timeout=_timeout(req.silent_ms),
        )
        return _read_answer(call, req, self._unread)

    def resume(self, address: str, req: EngineRequest, after: int) -> Batches:
        call = self._fresh.get(
            f"http://{address}/v1/runs/{req.attempt_id}",
            headers={"Last-Event-ID": str(after)},
            timeout=_timeout(req.silent_ms),
        )
        return _read_answer(call, req, self._unread)

    async def cancel(self, address: str, attempt_id: str) -> None:
        try:
            url = f"http://{address}/v1/runs/{attempt_id}"
            async with self._fresh.delete(url, timeout=_timeout(CONNECT_TIMEOUT_MS)):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

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
                return await resp.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            raise ConnectionError(f"{url}: {exc!r}") from exc


def _timeout(silent_ms: float) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000, sock_read=silent_ms / 1000
    )


async def _read_answer(call: Any, req: EngineRequest, unread: UnreadHeaders) -> Batches:
    try:
        async with call as resp:
            unread.note("engine", resp.headers)
            req.on_signals(read_signals(resp.status, resp.headers, OWN_SIGNALS), resp.status == 200)
            if resp.status != 200:
                await _raise_refusal(resp)
            if not req.stream:
                yield (AnswerEvent(1, await _read_body(resp), last=True),)
                return
            rest = b""
            async for chunk in resp.content.iter_any():
                *texts, rest = (rest + chunk).split(_EVENT_END)
                if len(rest) > MAX_EVENT_BYTES:
                    raise EngineBroken("engine_event_too_large", f"over {MAX_EVENT_BYTES} bytes")
                if texts:
                    yield [event for event in map(_parse_event, texts) if event is not None]
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise EngineRefused("engine_unreachable", f"no connection: {exc}") from exc
    except TimeoutError as exc:
        raise EngineBroken("engine_silent", "the engine fell silent") from exc
    except (aiohttp.ClientError, OSError) as exc:
        raise EngineBroken("engine_connection_lost", f"connection lost: {exc!r}") from exc


async def _raise_refusal(resp: aiohttp.ClientResponse) -> None:
    try:
        error = json.loads(await resp.content.read(MAX_EVENT_BYTES))["error"]
        code, message, ran = str(error["code"]), str(error["message"]), error.get("ran", True)
    except (ValueError, KeyError, TypeError):
        code, message, ran = "engine_error", f"status {resp.status}", True
    # Only the engine's own statement that nothing ran is a proof; a bare 500 may follow half a
    # run.
    if ran is False or resp.status in _BAD_REQUEST_STATUSES:
        raise EngineRefused(code, message, final=resp.status in _BAD_REQUEST_STATUSES)
    raise EngineBroken(code, message)


async def _read_body(resp: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in resp.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise EngineBroken("engine_answer_too_large", f"more than {MAX_ANSWER_BYTES} bytes")
    return bytes(body)


def _parse_event(text: bytes) -> AnswerEvent | None:
    number = 0
    data = b""
    for line in text.split(b"\n"):
        if line.startswith(b"data:"):
            data = line[5:].lstrip()
        elif line.startswith(b"id:"):
            digits = line[3:].strip()
            number = int(digits) if digits.isdigit() else 0
    return AnswerEvent(number, data, last=data == DONE) if data else None
