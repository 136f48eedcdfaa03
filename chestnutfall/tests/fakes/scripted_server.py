"""An upstream on loopback whose every byte a test sends by itself."""

from __future__ import annotations

import asyncio
import socket
import struct

KEEPS_TEN_S = "Keep-Alive: timeout=10\r\n"

GIVE_UP_S = 5.0
"""Ends a test whose client sends nothing; none waits that long otherwise."""


class ScriptedServer:
    """Accepts connections in order; a test reads requests and writes answers.

    Attributes
    ----------
    address : str
        IP and port.
    conns : list of socket
        Accepted connections.
    """

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.conns: list[socket.socket] = []

    def close(self) -> None:
        """Close every connection and the port."""
        for conn in (*self.conns, self._listener):
            conn.close()

    async def accept(self) -> socket.socket:
        """Wait for the next connection."""
        accepting = asyncio.get_running_loop().sock_accept(self._listener)
        conn, _ = await asyncio.wait_for(accepting, GIVE_UP_S)
        self.conns.append(conn)
        return conn

    async def read(self, conn: socket.socket) -> bytes:
        """Wait for a request with a short body."""
        reading = asyncio.get_running_loop().sock_recv(conn, 65_536)
        return await asyncio.wait_for(reading, GIVE_UP_S)


def answer(request_id: str, body: str = "", status: int = 200, extra: str = KEEPS_TEN_S) -> bytes:
    """Return the bytes of an answer; an empty `request_id` names no request."""
    named = f"X-Request-Id: {request_id}\r\n" if request_id else ""
    text = body or f"answer to {request_id}"
    head = f"HTTP/1.1 {status} X\r\n{named}{extra}Content-Length: {len(text)}\r\n\r\n"
    return (head + text).encode()


def reset(conn: socket.socket) -> None:
    """Close a connection by a reset instead of an end of file."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()
