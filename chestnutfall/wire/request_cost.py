"""What a request costs in memory before an upstream has it."""

from __future__ import annotations

from .socket_buffers import CLIENT_RECEIVE_BYTES, unread_bytes

CONNECTION_BYTES = 6 * 1024 + unread_bytes(CLIENT_RECEIVE_BYTES)
"""An open connection: its objects, and what the system may hold unread."""
CALL_BYTES = 10 * 1024
"""A request that is read or answered: its task and objects."""
SEND_BYTES = 30 * 1024
"""A request that is sent on: its state, and a connection to an upstream."""
PAUSED_BYTES = 160 * 1024
"""What is held of a stream whose client reads slowly, also at the connection to its upstream."""
BYTES_PER_HEAD_BYTE = 3
"""Each byte of a head is there as it came, as a header, and as text."""
BYTES_PER_LINE = 320
"""The objects of one header."""


def head_cost(size: int, lines: int) -> int:
    """Return the memory that a head takes.

    Parameters
    ----------
    size, lines : int
        Its bytes and lines.
    """
    return size * BYTES_PER_HEAD_BYTE + lines * BYTES_PER_LINE


def body_cost(size: int) -> int:
    """Return the memory that a body takes while it is being read, in parts."""
    return size + size // 16
