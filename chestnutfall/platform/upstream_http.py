"""HTTP client for forwarding requests to upstreams."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from ..clock import Clock
from ..connections import ConnectionNeed, ConnectionPool
from ..connections.keep_alive_header import told_idle_ms
from ..forwarding.answer_head import AnswerHead
from ..forwarding.call import Headers
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import NotRun, UpstreamAnswer
from ..forwarding.upstream_api import SILENT, AnswerLost, NotSent, UpstreamApi
from ..requests.awaited import Unawaited
from ..signals import SignalHeaders, UnreadHeaders, read_signals
from ..wire.piecewise_body import as_payload
from ..wire.single_send_session import single_send_session
from . import header_names as names
from .upstream_connector import UpstreamConnector
from .upstream_request import UpstreamRequest
from .upstream_response import UpstreamResponse
from .upstream_send import CURRENT_SEND, UpstreamSend

CONNECT_TIMEOUT_S = 0.15
"""Opening a connection takes a few ms. A lost SYN is sent again only after a second; by then
another upstream would have answered."""
READ_BYTES = 16 * 1024
"""Part of an answer that waits to be relayed; the library reads no more beyond twice as much."""
MAX_BODY_FOR_REUSE_BYTES = 16 * 1024
"""Longest request body whose connection is kept: a longer one may not be sent entirely when the
answer ends."""
MAX_ID_FOR_REUSE_CHARACTERS = 256
"""Longest request id whose connection is kept: each kept one remembers its last ids."""
ANSWER_OF_ANOTHER = "answer_of_another"
"""Code of an answer lost because another request's came instead."""
_SIGNALS = SignalHeaders(names.REQUEST_LIMIT, names.LEAVING, names.LOAD, names.REJECTION_LIMIT)
_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class UpstreamHttp(UpstreamApi):
    """Forwards requests over kept connections, as far as the pool allows, and over new ones.

    `unread` counts headers of answers that the gateway does not know.
    """

    def __init__(self, unread: UnreadHeaders, pool: ConnectionPool, clock: Clock) -> None:
        self._unread = unread
        self._pool = pool
        self._session = single_send_session(
            UpstreamConnector(pool, clock),
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BYTES,
            request_class=UpstreamRequest,
            response_class=UpstreamResponse,
        )

    def has_open_connection(self, instance: str) -> bool:
        return self._pool.has_open(instance)

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        call = forwarded.call
        send = _new_send(forwarded)
        CURRENT_SEND.set(send)
        request = self._session.request(
            call.method,
            URL(f"http://{forwarded.upstream.address}{call.target}", encoded=True),
            data=as_payload(call.body),
            headers=_headers(forwarded),
            skip_auto_headers=_AUTO_HEADERS,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=forwarded.silent_ms / 1000
            ),
        )
        try:
            async with request as resp:
                self._check_answer(resp, send)
                self._unread.note(forwarded.upstream.service, resp.headers)
                head = _head(resp.status, resp.headers, forwarded)
                yield UpstreamAnswer(
                    resp.status,
                    tuple(resp.headers.items()),
                    head.not_run,
                    head.signals,
                    self._body(resp, send),
                    written_by=head.written_by,
                )
        except (NotSent, AnswerLost, Unawaited):
            raise
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise NotSent(str(exc)) from exc
        except (aiohttp.ClientError, OSError) as exc:
            if send.is_answered:
                # Of the caller's connection, not of the upstream's.
                raise AnswerLost(type(exc).__name__) from exc
            raise self._lost(send, exc) from exc

    def interpret(self, status: int, headers: Headers, forwarded: ForwardedCall) -> AnswerHead:
        return _head(status, CIMultiDict(headers), forwarded)

    def _check_answer(self, resp: aiohttp.ClientResponse, send: UpstreamSend) -> None:
        """Note what an answer tells of its connection.

        Raises
        ------
        AnswerLost
            When it belongs to another request; its connection is closed.
        """
        send.is_answered = True
        if not _answers_request(resp, send):
            # A late or repeated answer to an earlier request on this connection.
            resp.close()
            if send.reused:
                self._pool.note_doubtful(send.need, send.sent_ms, ANSWER_OF_ANOTHER)
            raise AnswerLost(ANSWER_OF_ANOTHER)
        if send.extra_answers:
            self._pool.note_doubtful(send.need, send.sent_ms, "extra answer")
        self._pool.note_told(send.need, told_idle_ms(resp.headers.get("Keep-Alive")))

    async def _body(self, resp: aiohttp.ClientResponse, send: UpstreamSend) -> AsyncIterator[bytes]:
        try:
            async for data in resp.content.iter_any():
                yield data
        except aiohttp.ClientError as exc:
            raise self._lost(send, exc) from exc

    def _lost(self, send: UpstreamSend, exc: Exception) -> AnswerLost:
        """Note what a lost answer tells of its connection, and return it as a loss."""
        if isinstance(exc, aiohttp.SocketTimeoutError):
            # An upstream with a long queue is silent too; whether the connection is forgotten
            # shows in the acknowledgement of the request.
            return AnswerLost(SILENT)
        reason = type(exc).__name__
        if send.reused:
            self._pool.note_lost(send.need, send.sent_ms, reason)
        elif isinstance(exc, aiohttp.ClientOSError) and not send.is_answered:
            self._pool.note_reset(send.need, send.sent_ms)
        return AnswerLost(reason)

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()


def _new_send(forwarded: ForwardedCall) -> UpstreamSend:
    call, upstream = forwarded.call, forwarded.upstream
    need = ConnectionNeed(upstream.instance, upstream.service, call.request_id, forwarded.runs_once)
    is_short = len(call.request_id) <= MAX_ID_FOR_REUSE_CHARACTERS
    return UpstreamSend(need, call.target, is_short and len(call.body) <= MAX_BODY_FOR_REUSE_BYTES)


def _headers(forwarded: ForwardedCall) -> CIMultiDict[str]:
    """Headers of the client, and those that the system sets towards upstreams."""
    headers: CIMultiDict[str] = CIMultiDict(forwarded.call.headers)
    headers[names.DEADLINE] = str(forwarded.left_ms)
    headers[names.EXPECTED_INSTANCE] = forwarded.upstream.announced_name
    if forwarded.organisation:
        headers[names.ORGANISATION] = forwarded.organisation
    if forwarded.call.adapter is not None:
        headers[names.RANK] = str(min(forwarded.rank, 9))
        if forwarded.version:
            headers[names.EXPECTED_VERSION] = str(forwarded.version)
    if forwarded.resume_after is not None:
        headers[names.LAST_EVENT] = str(forwarded.resume_after)
    return headers


def _answers_request(resp: aiohttp.ClientResponse, send: UpstreamSend) -> bool:
    """Whether an answer belongs to the request of a send; only a failure may name no request.

    On a kept connection, such a failure may belong to an earlier request. A request that may run
    once would then be called not run while it runs.
    """
    named = resp.headers.get(names.REQUEST_ID)
    if named is None:
        return resp.status >= 300 and not (send.reused and send.need.runs_once)
    return named == send.need.request_id


def _head(status: int, headers: Mapping[str, str], forwarded: ForwardedCall) -> AnswerHead:
    return AnswerHead(
        _not_run(status, headers, forwarded),
        read_signals(status, headers, _SIGNALS),
        headers.get(names.INSTANCE, ""),
    )


def _not_run(status: int, headers: Mapping[str, str], forwarded: ForwardedCall) -> NotRun | None:
    """Return the upstream's proof that it did not run the request, if the answer contains one.

    Status 421 comes from another incarnation, or from an engine without the adapter.
    """
    if status == 421:
        expected = forwarded.upstream.announced_name
        other = headers.get(names.INSTANCE, expected)
        return NotRun.ABSENT if other == expected else NotRun.REPLACED
    return NotRun.FULL if names.NOT_EXECUTED in headers else None
