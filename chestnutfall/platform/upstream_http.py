"""HTTP client for forwarding requests to upstreams."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import NotRun, UpstreamAnswer
from ..forwarding.upstream_api import SILENT, AnswerLost, NotSent, UpstreamApi
from ..signals import SignalHeaders, UnreadHeaders, read_signals
from ..wire.single_send_session import single_send_session
from . import header_names as names
from .reset_aware import ResetAwareConnector

CONNECT_TIMEOUT_S = 0.15
"""Opening a connection takes a few ms. A lost SYN is sent again only after a second; by then
another upstream would have answered."""
IDLE_TIMEOUT_S = 1.5
"""Less than two seconds, the shortest time after which upstreams close idle connections."""
MAX_BODY_FOR_REUSE_BYTES = 16 * 1024
"""Longest request body whose connection is kept: a longer one may not be sent entirely when the
answer ends."""
_SIGNALS = SignalHeaders(names.REQUEST_LIMIT, names.LEAVING, names.LOAD)
_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class UpstreamHttp(UpstreamApi):
    """Forwards requests over two pools: kept connections, and connections that serve one request.

    `unread` counts headers of answers that the gateway does not know.
    """

    def __init__(self, unread: UnreadHeaders) -> None:
        self._unread = unread
        connector = ResetAwareConnector(limit=0, keepalive_timeout=IDLE_TIMEOUT_S)
        self._kept_session = _new_session(connector)
        self._single_use_session = _new_session(ResetAwareConnector(limit=0, force_close=True))

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        call = forwarded.call
        session = self._single_use_session if forwarded.fresh else self._kept_session
        request = session.request(
            call.method,
            URL(f"http://{forwarded.upstream.address}{call.target}", encoded=True),
            data=call.body or None,
            headers=_headers(forwarded),
            skip_auto_headers=_AUTO_HEADERS,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=forwarded.silent_ms / 1000
            ),
        )
        try:
            async with request as resp:
                if not _answers_request(resp, call.request_id):
                    # A late or repeated answer to an earlier request on this connection.
                    resp.close()
                    raise AnswerLost("answer_of_another")
                self._unread.note(forwarded.upstream.service, resp.headers)
                yield UpstreamAnswer(
                    resp.status,
                    tuple(resp.headers.items()),
                    _not_run(resp, forwarded),
                    read_signals(resp.status, resp.headers, _SIGNALS),
                    _body(resp),
                )
                if len(call.body) > MAX_BODY_FOR_REUSE_BYTES:
                    resp.close()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise NotSent(str(exc)) from exc
        except aiohttp.SocketTimeoutError as exc:
            raise AnswerLost(SILENT) from exc
        except (aiohttp.ClientError, OSError) as exc:
            if isinstance(exc, NotSent | AnswerLost):
                raise
            raise AnswerLost(type(exc).__name__) from exc

    async def close(self) -> None:
        """Close every connection."""
        await self._kept_session.close()
        await self._single_use_session.close()


def _new_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return single_send_session(connector, cookie_jar=aiohttp.DummyCookieJar(), read_bufsize=2**18)


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


def _answers_request(resp: aiohttp.ClientResponse, request_id: str) -> bool:
    """Whether an answer belongs to the request `request_id`; only a failure may name no request."""
    named = resp.headers.get(names.REQUEST_ID)
    return named == request_id or (named is None and resp.status >= 300)


def _not_run(resp: aiohttp.ClientResponse, forwarded: ForwardedCall) -> NotRun | None:
    """Return the upstream's proof that it did not run the request, if the answer contains one.

    Status 421 comes from another incarnation, or from an engine without the adapter.
    """
    if resp.status == 421:
        expected = forwarded.upstream.announced_name
        other = resp.headers.get(names.INSTANCE, expected)
        return NotRun.ABSENT if other == expected else NotRun.REPLACED
    return NotRun.FULL if names.NOT_EXECUTED in resp.headers else None


async def _body(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    async for data in resp.content.iter_any():
        yield data
