"""Takes the connections that wait at a listening socket."""

from __future__ import annotations

import asyncio
import logging
import socket
from functools import partial

from .connection_gate import ConnectionGate
from .gated_server import GatedServer
from .opening import Opening

log = logging.getLogger(__name__)
MAX_PER_TURN = 256
"""Connections that one turn of the event loop takes; opening that many takes some 20 ms."""
PAUSE_S = 0.1
"""Time without taking any after the host had no means for one more."""


class Acceptor:
    """Takes all connections that wait, and closes at once those that the gate doesn't admit.

    The event loop's own server takes one connection a turn. Where turns are long, connections wait
    in the system's queue, which nobody sees, for longer than callers do.

    Parameters
    ----------
    sock : socket.socket
        Listening socket; it is closed with the acceptor.
    """

    def __init__(self, sock: socket.socket, server: GatedServer, gate: ConnectionGate) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._server = server
        self._gate = gate
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        self._pause: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to take connections."""
        self._pause = None
        self._loop.add_reader(self._sock, self._take_all)

    async def close(self) -> None:
        """Stop listening; connections that were taken are open when this returns.

        Those that wait are taken first: the system resets them otherwise, whatever came on them.
        """
        if self._pause is None:
            self._take_all()
        if self._pause is not None:
            self._pause.cancel()
        self._loop.remove_reader(self._sock)
        self._sock.close()
        await asyncio.gather(*self._opening)

    def _take_all(self) -> None:
        for _ in range(MAX_PER_TURN):
            try:
                conn, _address = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                # None waits any more, or the caller has left.
                return
            except OSError as exc:
                log.warning("connections: none taken for %s s: %s", PAUSE_S, exc)
                self._loop.remove_reader(self._sock)
                self._pause = self._loop.call_later(PAUSE_S, self.start)
                return
            self._take(conn)

    def _take(self, conn: socket.socket) -> None:
        opening = self._gate.admit()
        if opening is None:
            conn.close()
            return
        conn.setblocking(False)
        task = self._loop.create_task(self._open(conn, opening))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open(self, conn: socket.socket, opening: Opening) -> None:
        try:
            await self._loop.connect_accepted_socket(partial(self._server.open, opening), conn)
        except OSError as exc:
            log.info("connections: one ended as it was taken: %s", exc)
            self._gate.ended(opening)
