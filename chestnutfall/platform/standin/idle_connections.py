"""Connections to a stand-in upstream that wait for their next request."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web

from .. import header_names as names

SETTLE_S = 0.05
"""A connection counts as idle this long after its request was handled; by then its answer is
written."""


class IdleConnections:
    """Closes idle connections, or repeats the last answer on them, when a soak run asks for it."""

    def __init__(self) -> None:
        self._last: dict[web.RequestHandler, tuple[str, float]] = {}
        self._serving: set[web.RequestHandler] = set()

    @contextmanager
    def serving(self, request: web.BaseRequest) -> Iterator[None]:
        """Enclose the handling of a request."""
        conn = request.protocol
        self._serving.add(conn)
        try:
            yield
        finally:
            self._serving.discard(conn)
            self._last[conn] = request.headers[names.REQUEST_ID], time.monotonic()

    def close_one(self, rng: random.Random) -> bool:
        """Close an idle connection; return whether there was one."""
        conn = self._draw(rng)
        if conn is None or conn.transport is None:
            return False
        conn.transport.close()
        return True

    def answer_again(self, rng: random.Random, body: bytes) -> bool:
        """Send one more answer to the last request of an idle connection, if there is one."""
        conn = self._draw(rng)
        if conn is None or conn.transport is None:
            return False
        request_id, _ = self._last[conn]
        head = f"HTTP/1.1 200 OK\r\n{names.REQUEST_ID}: {request_id}\r\n"
        conn.transport.write(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return True

    def _draw(self, rng: random.Random) -> web.RequestHandler | None:
        now_s = time.monotonic()
        self._last = {
            conn: last
            for conn, last in self._last.items()
            if conn.transport is not None and not conn.transport.is_closing()
        }
        idle = [
            conn
            for conn, (_, ended_s) in self._last.items()
            if conn not in self._serving and now_s - ended_s > SETTLE_S
        ]
        return rng.choice(idle) if idle else None
