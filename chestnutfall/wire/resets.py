"""Resets of connections."""

from __future__ import annotations

import asyncio
import socket
import struct

_NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset a connection, and drop what was written to it and isn't sent.

    `abort` alone drops what the event loop still has, and not what the system has. The other end
    gets an end of file then, which ends an answer without a length as whole.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
