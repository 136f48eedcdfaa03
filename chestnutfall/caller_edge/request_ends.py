"""The one place at which the requests of callers end."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from ..clock import Clock
from ..clock.cancelled import was_cancelled
from ..observability.metrics import Metrics
from ..requests import Executed, Refusal
from ..requests.awaited import Unawaited, check_awaited, send_while
from ..wire.peer_closed import is_closed_by_peer
from .error_body import error_headers, error_text
from .request_end import (
    Answered,
    BrokenOff,
    CallerLeft,
    Failed,
    Refused,
    RequestEnd,
    Stopped,
    reason_of,
)
from .request_progress import RequestProgress

log = logging.getLogger(__name__)
INTERNAL_RETRY_MS = 1000
READ_WITHIN_MS = 10_000
"""Time for a caller to read what precedes the last event of a broken stream, and as much again for
that event and what else is on its way."""
Work = Callable[[RequestProgress], Awaitable[web.StreamResponse]]
"""Serves one request, and returns its response or raises."""


class RequestEnds:
    """Runs each request of a caller, writes what it still has to get, and records the end.

    No request ends elsewhere: each end is a `RequestEnd` with one log line and one count.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics

    async def serve(self, request: web.Request, work: Work) -> web.StreamResponse:
        """Run `work` and return the response, which has been written."""
        progress = RequestProgress(self._clock.now_ms())
        send_while(lambda: not is_closed_by_peer(request.transport))
        end = await _run(request, progress, work)
        try:
            resp = await self._write(request, progress, end)
        except (Exception, asyncio.CancelledError) as exc:
            end = _end_after(exc, request, progress)
            self._record(request, progress, end)
            if isinstance(end, CallerLeft) and request.transport is not None:
                # The event loop may not have read yet that it is closed.
                request.transport.abort()
            return _unwritten(end, progress, exc)
        self._record(request, progress, end)
        return resp

    async def _write(
        self, request: web.Request, progress: RequestProgress, end: RequestEnd
    ) -> web.StreamResponse:
        match end:
            case Answered(resp):
                return await _write_response(request, resp)
            case Refused(refusal):
                self._metrics.count(f"refused.{refusal.code}")
                return await _write_response(request, _error_response(refusal, progress))
            case BrokenOff(refusal, stream):
                self._metrics.count(f"broken_streams.{refusal.code}")
                return await self._break_off(request, progress, refusal, stream)
            case Failed():
                refusal = _internal_refusal(progress.executed)
                return await self._write(request, progress, _end_by(refusal, progress))
            case CallerLeft(error) | Stopped(error):
                raise error

    async def _break_off(
        self,
        request: web.Request,
        progress: RequestProgress,
        refusal: Refusal,
        stream: web.StreamResponse,
    ) -> web.StreamResponse:
        # A regular end of the transfer would make a truncated answer look complete. Clients that
        # parse events see the error event; all others see the broken transfer.
        event = b"data: " + error_text(refusal, progress.request_id).encode() + b"\n\n"
        transport = request.transport
        try:
            await self._clock.within_ms(READ_WITHIN_MS, stream.write(event))
        except (TimeoutError, asyncio.CancelledError) as exc:
            # A caller that reads nothing lets no event through. Where a write before was cancelled,
            # aiohttp has the next one wait for the same future, which is cancelled.
            if isinstance(exc, asyncio.CancelledError) and was_cancelled():
                raise
            if transport is not None:
                transport.abort()
            return stream
        if transport is not None:
            transport.close()
            # It stays open until all is sent.
            asyncio.get_running_loop().call_later(READ_WITHIN_MS / 1000, transport.abort)
        return stream

    def _record(self, request: web.Request, progress: RequestProgress, end: RequestEnd) -> None:
        reason = reason_of(end)
        self._metrics.count(f"ends.{reason}")
        log.info(
            "end: id=%s caller=%s path=%s reason=%s %s began=%s ms=%d",
            progress.request_id,
            progress.caller,
            request.path,
            reason,
            _details(end, progress),
            progress.stream is not None,
            self._clock.now_ms() - progress.arrived_ms,
            exc_info=end.error if isinstance(end, Failed) else None,
        )


async def _run(request: web.Request, progress: RequestProgress, work: Work) -> RequestEnd:
    try:
        # Whatever is done for a client that has left would delay those who still wait.
        check_awaited()
        return Answered(await work(progress))
    except (Exception, asyncio.CancelledError) as exc:
        return _end_after(exc, request, progress)


def _end_after(exc: BaseException, request: web.Request, progress: RequestProgress) -> RequestEnd:
    match exc:
        case Refusal():
            return _end_by(exc, progress)
        # Connections to engines, gateways and controllers raise the same errors, so only the state
        # of the caller's transport shows that the caller has left.
        case ConnectionError() | asyncio.CancelledError() if is_closed_by_peer(request.transport):
            return CallerLeft(exc)
        case Unawaited():
            return CallerLeft(exc)
        case asyncio.CancelledError() if was_cancelled():
            return Stopped(exc)
        case _:
            return Failed(exc)


def _unwritten(
    end: RequestEnd, progress: RequestProgress, exc: BaseException
) -> web.StreamResponse:
    match end:
        case CallerLeft(ConnectionError() | Unawaited()):
            # aiohttp finds its transport closed and drops the response; raised, the error would be
            # logged once more, as one of ours.
            return progress.stream or web.Response()
        case _:
            raise exc


def _end_by(refusal: Refusal, progress: RequestProgress) -> RequestEnd:
    if progress.stream is None:
        return Refused(refusal)
    return BrokenOff(refusal, progress.stream)


def _internal_refusal(executed: Executed) -> Refusal:
    not_run = executed is Executed.NO
    return Refusal(
        503 if not_run else 502,
        "internal_error",
        "a part of the gateway failed",
        executed,
        INTERNAL_RETRY_MS if not_run else None,
    )


def _details(end: RequestEnd, progress: RequestProgress) -> str:
    match end:
        case Answered(resp):
            return f"status={resp.status}"
        case Refused(refusal):
            executed = refusal.executed.value
            return f"status={refusal.status} code={refusal.code} executed={executed}"
        case BrokenOff(refusal, _):
            return f"code={refusal.code} executed={refusal.executed.value}"
        case CallerLeft(error) | Stopped(error) | Failed(error):
            return f"error={type(error).__name__} executed={progress.executed.value}"


async def _write_response(request: web.Request, resp: web.StreamResponse) -> web.StreamResponse:
    await resp.prepare(request)
    await resp.write_eof()
    return resp


def _error_response(refusal: Refusal, progress: RequestProgress) -> web.Response:
    return web.Response(
        status=refusal.status,
        text=error_text(refusal, progress.request_id),
        content_type="application/json",
        headers=error_headers(refusal),
    )
