"""What the system holds of a connection's bytes."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import socket
import struct
import termios

log = logging.getLogger(__name__)
CLIENT_RECEIVE_BYTES = 8 * 1024
"""Longer than nearly every request. The system grows the buffer to megabytes otherwise, for each
connection whose bytes wait to be read, and these count as memory of the process."""
LONG_RECEIVE_BYTES = 128 * 1024
"""For long bodies, so that distance doesn't slow them down."""
CLIENT_SEND_BYTES = 64 * 1024
UPSTREAM_RECEIVE_BYTES = 64 * 1024
"""What the system gives at first. It grows no further then; a smaller one would drop what comes on
the way as it shrinks."""


def unread_bytes(receive_bytes: int) -> int:
    """Return the most that waits at a socket that was given a receive buffer of this size.

    The system gives twice the size, and fills it to three quarters.
    """
    return receive_bytes * 3 // 2


def limit_client_buffers(listening: socket.socket) -> None:
    """Limit the buffers of the connections that a listening socket accepts."""
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_RECEIVE_BYTES)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CLIENT_SEND_BYTES)


def set_receive_buffer(transport: asyncio.BaseTransport, size: int) -> None:
    """Set the receive buffer of an open connection."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    except OSError as exc:
        # It has ended meanwhile.
        log.debug("connections: receive buffer not set: %s", exc)


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes of a connection its peer's host has not acknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    count: int = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]
    return count
