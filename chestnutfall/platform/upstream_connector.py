"""aiohttp's connector to upstreams, over the pool of kept connections."""

from __future__ import annotations

import asyncio
import errno
from functools import partial
from typing import Any

import aiohttp
from aiohttp.connector import Connection

from ..clock import Clock
from ..connections import ConnectionPool
from ..requests.awaited import Unawaited, check_awaited
from ..wire.direct_connector import DirectConnector
from .upstream_connection import UpstreamConnection
from .upstream_send import CURRENT_SEND

SWEEP_S = 0.5
"""Time between two looks for connections that have been idle for too long."""


class UpstreamConnector(DirectConnector):
    """Connector whose connections are kept by a `ConnectionPool`; aiohttp's own pool stays empty.

    It must be created in a running event loop.
    """

    def __init__(self, pool: ConnectionPool, clock: Clock) -> None:
        super().__init__(limit=0)
        self._pool = pool
        self._clock = clock
        self._sweeper: asyncio.TimerHandle | None = None
        handler = partial(UpstreamConnection, pool, loop=asyncio.get_running_loop())
        self._factory = handler  # type: ignore[assignment]

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Connection:
        send = CURRENT_SEND.get()
        idle = self._pool.take(send.need)
        send.sent_ms = self._clock.now_ms()
        if idle is not None:
            assert isinstance(idle.conn, UpstreamConnection)
            idle.conn.begin(send, idle)
            self._acquired.add(idle.conn)
            return Connection(self, req.connection_key, idle.conn, self._loop)
        conn = await super().connect(req, traces, timeout)
        send.sent_ms = self._clock.now_ms()
        self._pool.note_opened()
        handler = conn.protocol
        assert isinstance(handler, UpstreamConnection)
        handler.begin(send, None)
        if not handler.is_quiet():
            # The upstream has ended the connection before a byte of the request was written.
            self._pool.note_over_limit(send.need)
            _close_unused(conn)
            reset = OSError(errno.ECONNRESET, "reset before the request was written")
            raise aiohttp.ClientConnectorError(req.connection_key, reset)
        try:
            check_awaited()
        except Unawaited:
            _close_unused(conn)
            raise
        return conn

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        handler = protocol
        assert isinstance(handler, UpstreamConnection)
        send = handler.send
        if not (send and send.may_keep):
            handler.force_close()
        if self._closed or should_close or handler.should_close:
            super()._release(key, protocol, should_close=should_close)
            return
        self._release_acquired(key, protocol)
        handler.end_send()
        if self._sweeper is None:
            self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        self._sweeper = None
        self._pool.sweep()
        if len(self._pool):
            self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    def _close(self, *, abort_ssl: bool = False) -> Any:
        if self._sweeper is not None:
            self._sweeper.cancel()
        self._pool.close()
        return super()._close(abort_ssl=abort_ssl)


def _close_unused(conn: Connection) -> None:
    """Close a connection on which nothing was written; a reset would tell of a request given up."""
    assert conn.protocol is not None
    conn.protocol.force_close()
    conn.release()
