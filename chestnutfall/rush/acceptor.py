"""Takes the connections that wait at a listening socket."""

from __future__ import annotations

import asyncio
import logging
import socket
from functools import partial
from typing import Any

from ..settings.host_port import split_address
from ..wire.accepting_server import AcceptingServer
from ..wire.socket_buffers import limit_client_buffers

log = logging.getLogger(__name__)
MAX_PER_TURN = 256
"""Connections that one turn of the event loop takes; opening that many takes some 20 ms."""
PAUSE_S = 0.1
"""Time without taking any after the host had no means for one more."""
REFUSED = "connections_refused_full"


class Acceptor:
    """Takes all connections that wait, and closes at once those that the server doesn't admit.

    The event loop's own server takes one connection a turn. Where turns are long, connections wait
    in the system's queue, which nobody sees, for longer than callers do.

    Connections that have no request make room for new ones, those first that have waited longest.

    Parameters
    ----------
    sock : socket.socket
        Listening socket; it is closed with the acceptor.
    """

    def __init__(self, sock: socket.socket, server: AcceptingServer) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._server = server
        self._account = server.account
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        self._pause: asyncio.TimerHandle | None = None

    @property
    def address(self) -> tuple[str, int]:
        """IP and port that it listens on."""
        ip, port = self._sock.getsockname()
        return ip, port

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
        record = self._server.admit() if self._has_room() else None
        if record is None:
            conn.close()
            return
        conn.setblocking(False)
        task = self._loop.create_task(self._open(conn, record))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def _has_room(self) -> bool:
        """Whether one more connection may be open; connections without a request make room."""
        account, opening = self._account, len(self._opening)
        if account.descriptors.has_room_for_client(opening):
            return True
        account.close_idle_clients()
        if account.descriptors.has_room_for_client(opening):
            return True
        account.memory.count(REFUSED)
        return False

    async def _open(self, conn: socket.socket, record: Any) -> None:
        try:
            await self._loop.connect_accepted_socket(partial(self._server.open, record), conn)
        except OSError as exc:
            log.info("connections: one ended as it was taken: %s", exc)
            self._server.ended(record)


def open_listening(address: str, backlog: int) -> socket.socket:
    """Return a socket that listens on `address`, an IP and port, for clients."""
    sock = socket.create_server(split_address(address), backlog=backlog)
    limit_client_buffers(sock)
    return sock
