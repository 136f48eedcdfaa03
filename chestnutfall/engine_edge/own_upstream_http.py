"""HTTP client for upstreams that speak chestnutfall's own interface."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from aiohttp.connector import Connection
from multidict import CIMultiDict

from ..forwarding.answer_head import AnswerHead
from ..forwarding.call import Headers
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import UpstreamAnswer
from ..forwarding.upstream_api import SILENT, AnswerLost, NotSent, UpstreamApi
from ..requests.awaited import Unawaited, check_awaited
from ..signals import UnreadHeaders, read_signals
from ..signals.own_headers import OWN_SIGNALS
from ..wire.direct_connector import DirectConnector
from ..wire.piecewise_body import as_payload
from ..wire.single_send_session import single_send_session

CONNECT_TIMEOUT_MS = 500
IDLE_CONNECTION_S = 2.0


class _LastLookConnector(DirectConnector):
    """Sends nothing for clients that have left by the time that a connection is open."""

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Connection:
        conn = await super().connect(req, traces, timeout)
        try:
            check_awaited()
        except Unawaited:
            conn.close()
            raise
        return conn


class OwnUpstreamHttp(UpstreamApi):
    """Sends calls to engines and to upstreams of plain services.

    A call that may run once only gets a new connection: one lost on a connection that died while it
    was idle may have run. The others share a pool. A connection returns to the pool only after its
    answer was read to the end, so that a later call can't read the rest of an earlier answer.
    """

    def __init__(self, unread: UnreadHeaders) -> None:
        self._unread = unread
        self._pool = single_send_session(
            _LastLookConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)
        )
        self._fresh = single_send_session(_LastLookConnector(limit=0, force_close=True))

    @asynccontextmanager
    async def send(self, forwarded: ForwardedCall) -> AsyncIterator[UpstreamAnswer]:
        call = forwarded.call
        session = self._fresh if forwarded.runs_once else self._pool
        request = session.request(
            call.method,
            f"http://{forwarded.upstream.address}{call.target}",
            data=as_payload(call.body),
            headers=dict(call.headers),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=CONNECT_TIMEOUT_MS / 1000,
                sock_read=forwarded.silent_ms / 1000,
            ),
        )
        try:
            async with request as resp:
                self._unread.note(forwarded.upstream.service, resp.headers)
                headers = tuple(resp.headers.items())
                head = self.interpret(resp.status, headers, forwarded)
                yield UpstreamAnswer(resp.status, headers, head.not_run, head.signals, _body(resp))
        except (NotSent, AnswerLost, Unawaited):
            raise
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise NotSent(f"no connection: {exc}") from exc
        except TimeoutError as exc:
            raise AnswerLost(SILENT) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise AnswerLost(f"connection lost: {exc!r}") from exc

    def interpret(self, status: int, headers: Headers, forwarded: ForwardedCall) -> AnswerHead:
        """Return the signals; who sent the call reads from the body whether it ran."""
        return AnswerHead(None, read_signals(status, CIMultiDict(headers), OWN_SIGNALS))

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.close()
        await self._fresh.close()


async def _body(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for data in resp.content.iter_any():
            yield data
    except TimeoutError as exc:
        raise AnswerLost(SILENT) from exc
    except aiohttp.ClientError as exc:
        raise AnswerLost(f"connection lost: {exc!r}") from exc
