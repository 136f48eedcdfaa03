"""Streamed answers to callers."""

from __future__ import annotations

from collections.abc import Sequence

from aiohttp import web

from ..engine_edge import AnswerEvent, Batches
from ..wire.bounded_connection import BoundedConnection
from .request_progress import RequestProgress


async def stream_answer(
    request: web.Request,
    progress: RequestProgress,
    first: Sequence[AnswerEvent],
    batches: Batches,
) -> web.StreamResponse:
    """Write an answer to its caller as its events arrive, and return the ended stream.

    Parameters
    ----------
    first : sequence of AnswerEvent
        The events that have arrived; with them the answer begins.
    batches : async generator
        All further events.
    """
    resp = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            "X-Request-Id": progress.request_id,
        }
    )
    await resp.prepare(request)
    progress.stream = resp
    conn = request.protocol
    assert isinstance(conn, BoundedConnection)
    await resp.write(_encode_events(first))
    async for events in batches:
        await resp.write(_encode_events(events))
        if conn.writing_paused:
            await conn.wait_for_reader()
    await resp.write_eof()
    return resp


def _encode_events(events: Sequence[AnswerEvent]) -> bytes:
    return b"".join(b"data: " + event.data + b"\n\n" for event in events)
