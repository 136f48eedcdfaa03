"""Resets of connections, as when the process at the other end has crashed."""

from __future__ import annotations

import asyncio
import socket
import struct

_NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection.

    `abort` alone ends it with an end of file, which ends an answer without a length as whole.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
