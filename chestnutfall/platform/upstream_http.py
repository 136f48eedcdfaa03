"""Requests to upstreams over HTTP."""

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

CONNECT_S = 0.15
"""A connection takes some ms; a lost opening packet is sent again after a second, later than
another upstream would have answered."""
IDLE_CONNECTION_S = 1.5
"""Upstreams close idle connections after whole seconds, the shortest after two."""
EARLY_ANSWER_BYTES = 16 * 1024
"""A longer body may still be on its way when the answer ends, so its connection is not kept."""
_SIGNALS = SignalHeaders(names.REQUEST_LIMIT, names.LEAVING, names.LOAD)
_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class UpstreamHttp(UpstreamApi):
    """Two pools: kept connections, and those that serve one request."""

    def __init__(self, unread: UnreadHeaders) -> None:
        self._unread = unread
        kept = ResetAwareConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)
        self._kept = _session(kept)
        self._fresh = _session(ResetAwareConnector(limit=0, force_close=True))

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        call = forwarded.call
        session = self._fresh if forwarded.fresh else self._kept
        request = session.request(
            call.method,
            URL(f"http://{forwarded.upstream.address}{call.target}", encoded=True),
            data=call.body or None,
            headers=_headers(forwarded),
            skip_auto_headers=_AUTO_HEADERS,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_S, sock_read=forwarded.silent_ms / 1000
            ),
        )
        try:
            async with request as resp:
                if not _is_ours(resp, call.request_id):
                    # An answer to an earlier request of this connection came late or twice.
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
                if len(call.body) > EARLY_ANSWER_BYTES:
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
        await self._kept.close()
        await self._fresh.close()


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return single_send_session(connector, cookie_jar=aiohttp.DummyCookieJar(), read_bufsize=2**18)


def _headers(forwarded: ForwardedCall) -> CIMultiDict[str]:
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


def _is_ours(resp: aiohttp.ClientResponse, request_id: str) -> bool:
    """Whether the answer names our request; only refusals may name none."""
    named = resp.headers.get(names.REQUEST_ID)
    return named == request_id or (named is None and resp.status >= 300)


def _not_run(resp: aiohttp.ClientResponse, forwarded: ForwardedCall) -> NotRun | None:
    if resp.status == 421:
        expected = forwarded.upstream.announced_name
        other = resp.headers.get(names.INSTANCE, expected)
        return NotRun.ABSENT if other == expected else NotRun.REPLACED
    return NotRun.FULL if names.NOT_EXECUTED in resp.headers else None


async def _body(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    async for data in resp.content.iter_any():
        yield data
