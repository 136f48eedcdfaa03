"""A client of the platform that checks the answers it gets."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from .. import header_names as names
from .adapter_store import MODEL
from .document_change import SHIFTING_STREAM
from .operator import HOST
from .stream_text import begins_stream, is_whole_stream
from .tenants import KEYS, STEADY
from .upstream import ENTRY_HEADER, EVENTS, answer_body

DEADLINE_MS = 2_500
CLIENT_TIMEOUT_S = 4.0
"""A client waits this long, which is past its deadline, so that each answer reaches it."""
KEEP_S = 0.8
"""Less than the shortest limit on idle connections in documents; else the gateway could close one
while a request is on its way."""
STREAMED_ROUTES = ("draft", "long", SHIFTING_STREAM)
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class ClientResult:
    """Outcome of one request, as its client sees it.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection ended without an answer.
    complete : bool
        Whether the answer ended as complete.
    correct : bool
        Whether a complete success has exactly the expected body, and an incomplete one the
        beginning of it. True for every other status.
    organisation : str
        Organisation whose key the request had.
    retry_after_s : float or None
        Value of the answer's Retry-After.
    took_s : float
        Time from sending the request to the end of its answer.
    reason : str
        Body of an answer that is no success.
    gateway : str
        Address that it was sent to.
    sent_s : float
        Time of `time.monotonic` at which it was sent.
    connected : bool
        Whether there was a connection to send it on.
    idle_s : float or None
        How long the connection had been kept without a request; None for a new one.
    """

    request_id: str
    route: str
    status: int
    complete: bool
    correct: bool
    organisation: str = STEADY
    retry_after_s: float | None = None
    took_s: float = 0.0
    reason: str = ""
    gateway: str = ""
    sent_s: float = 0.0
    connected: bool = True
    idle_s: float | None = None

    @property
    def says_not_run(self) -> bool:
        """Whether the status promises that the request did not run."""
        return self.status in NOT_RUN_STATUSES


class StandInClient:
    """Sends requests to gateways on kept connections, with the request ids that `rng` draws.

    Parameters
    ----------
    keep_s : float
        How long it keeps a connection without a request; by default less than any gateway may.
    connections : int
        Connections to one gateway at most; 0 for any number.
    """

    def __init__(self, rng: random.Random, keep_s: float = KEEP_S, connections: int = 0) -> None:
        self._rng = rng
        self._ended_s: dict[str, float] = {}
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_reuseconn.append(_note_reuse)
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit_per_host=connections, keepalive_timeout=keep_s),
            trace_configs=[tracing],
        )

    async def send(
        self, gateway: str, route: str, content: bytes = b"photo", organisation: str = STEADY
    ) -> ClientResult:
        """Send one request to the address `gateway` and read its answer.

        Streamed routes name an adapter that `rng` draws.
        """
        request_id = f"{self._rng.randrange(16**16):016x}"
        headers = self._headers(request_id, gateway, organisation)
        streamed = route in STREAMED_ROUTES
        if streamed:
            headers[names.MODEL] = f"{MODEL}/a{self._rng.randrange(12)}"
            headers[names.TOKEN_COUNTS] = "100,40"
        answer = await self._exchange(f"http://{gateway}/{route}/x", headers, content)
        now_s = time.monotonic()
        idle_s = answer.sent_s - self._ended_s.get(gateway, answer.sent_s)
        self._ended_s[gateway] = now_s
        body = bytes(answer.body)
        is_success = answer.status == 200
        return ClientResult(
            request_id,
            route,
            answer.status,
            answer.complete,
            not is_success or _is_correct(body, request_id, streamed, answer.complete),
            organisation,
            answer.retry_after_s,
            now_s - answer.sent_s,
            "" if is_success else body.decode(errors="replace") or answer.error,
            gateway,
            answer.sent_s,
            answer.connected,
            idle_s if answer.reused else None,
        )

    def _headers(self, request_id: str, gateway: str, organisation: str) -> dict[str, str]:
        headers = {"Host": HOST, names.REQUEST_ID: request_id, names.DEADLINE: str(DEADLINE_MS)}
        headers[names.KEY] = KEYS[organisation]
        # A forged organisation, which gateways must not forward.
        headers[names.ORGANISATION] = "claimed"
        headers[ENTRY_HEADER] = gateway
        return headers

    async def _exchange(self, url: str, headers: dict[str, str], content: bytes) -> _Answer:
        answer = _Answer(time.monotonic())
        try:
            async with self._session.post(
                url, headers=headers, data=content, trace_request_ctx=answer
            ) as resp:
                answer.status = resp.status
                async for data in resp.content.iter_any():
                    answer.body += data
                answer.retry_after_s = _seconds(resp.headers.get(names.RETRY_AFTER))
                answer.complete = True
        except aiohttp.ClientConnectorError as exc:
            answer.connected, answer.error = False, repr(exc)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            answer.error = repr(exc)
        return answer

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()


@dataclass(slots=True)
class _Answer:
    """What has come of a request."""

    sent_s: float
    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False
    retry_after_s: float | None = None
    error: str = ""
    connected: bool = True
    reused: bool = False


async def _note_reuse(session: aiohttp.ClientSession, context: Any, params: Any) -> None:
    """Note that a request goes out on a kept connection."""
    context.trace_request_ctx.reused = True


def _is_correct(body: bytes, request_id: str, streamed: bool, complete: bool) -> bool:
    """Whether a success has the only correct body, or is the beginning of it if incomplete."""
    if streamed:
        return (
            is_whole_stream(body, request_id, EVENTS)
            if complete
            else begins_stream(body, request_id)
        )
    answer = answer_body(request_id)
    return body == answer if complete else answer.startswith(body)


def _seconds(text: str | None) -> float | None:
    """Parse a Retry-After; None for one that is no number, as an upstream may send it."""
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
