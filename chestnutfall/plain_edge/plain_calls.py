"""Calls to upstreams of plain services."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from aiohttp import web

from ..accounts import AccountFull, MemoryAccount
from ..clock import Clock
from ..clock.cancelled import was_cancelled
from ..engine_edge.gap_limit import GapLimit
from ..forwarding.call import Call
from ..forwarding.forwarded_call import ForwardedCall
from ..forwarding.upstream_answer import UpstreamAnswer
from ..forwarding.upstream_api import AnswerLost, NotSent, UpstreamApi
from ..membership import Upstream
from ..requests.awaited import Unawaited
from ..signals.known_signals import KnownSignals
from .plain_answer import EXECUTED_HEADER, EXECUTED_NO, PlainAnswer
from .plain_call import PlainCall

log = logging.getLogger(__name__)
MAX_ANSWER_BYTES = 8 * 1024 * 1024
TOO_LARGE = "the answer is too large"
_NOT_FORWARDED = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class CallFailed(Exception):
    """A part of the gateway failed during a call, which may have run."""


class PlainCalls:
    """Sends calls to upstreams, and notes the signals of their answers."""

    def __init__(
        self, upstreams: UpstreamApi, signals: KnownSignals, clock: Clock, memory: MemoryAccount
    ) -> None:
        self._upstreams = upstreams
        self._signals = signals
        self._clock = clock
        self._memory = memory

    async def call(
        self, call: PlainCall, upstream: Upstream, on_heard: Callable[[], None]
    ) -> PlainAnswer:
        """Send a call to an upstream and return its whole answer.

        Parameters
        ----------
        on_heard : callable
            Called as the answer begins, and as it is whole.

        Raises
        ------
        NotSent
            When no connection could be opened.
        AnswerLost
            When the answer is missing or cut off.
        CallFailed
            When a part of the gateway failed.
        """
        try:
            return await self._call(call, upstream, on_heard)
        except (NotSent, AnswerLost, Unawaited):
            raise
        except AccountFull as exc:
            raise AnswerLost(TOO_LARGE) from exc
        except (Exception, asyncio.CancelledError) as exc:
            if isinstance(exc, asyncio.CancelledError) and was_cancelled():
                raise
            log.error("plain: a call to %s failed", upstream.instance, exc_info=exc)
            raise CallFailed("a part of the gateway failed") from exc

    async def _call(
        self, plain: PlainCall, upstream: Upstream, on_heard: Callable[[], None]
    ) -> PlainAnswer:
        request = plain.request
        headers = tuple(_forwarded_headers(request.headers).items())
        target = request.path_qs
        call = Call("", request.method, target, request.path, "", headers, plain.body, 0, 0)
        # A connection may have died while it was idle, and whether the call ran would be unknown.
        sent = ForwardedCall(
            call, upstream.record, 0, 0, 0, None, runs_once=True, silent_ms=plain.wait_ms
        )
        sent_ms = self._clock.now_ms()
        async with self._upstreams.send(sent) as answer:
            by_name = _forwarded_headers(dict(answer.headers))
            rejected = answer.status == 503 and by_name.get(EXECUTED_HEADER) == EXECUTED_NO
            succeeded = answer.status < 300
            self._signals.observe(upstream.instance, answer.signals, sent_ms, succeeded, rejected)
            on_heard()
            data = await self._read_whole(answer, plain.wait_ms)
            on_heard()
            response = web.Response(status=answer.status, body=data, headers=by_name)
            return PlainAnswer(response, answer.signals)

    async def _read_whole(self, answer: UpstreamAnswer, within_ms: float) -> bytes:
        """Return the whole body of an answer.

        An upstream in trouble may write without end, so that bytes alone are no progress.
        """
        body = bytearray()
        # One wait for all of it.
        with GapLimit(within_ms) as gap, self._memory.holder() as held:
            gap.begin_wait()
            async for data in answer.body:
                body += data
                if len(body) > MAX_ANSWER_BYTES:
                    raise AnswerLost(TOO_LARGE)
                held.resize(len(body))
        return bytes(body)


def _forwarded_headers(headers: Any) -> dict[str, str]:
    # aiohttp's names of headers are a subclass of str, which the codec between gateways doesn't
    # encode.
    return {
        str(name): value for name, value in headers.items() if name.lower() not in _NOT_FORWARDED
    }
