"""Whether the other end of a connection has closed it."""

from __future__ import annotations

import asyncio
import select

_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def is_closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Whether a connection is closed, or its end lies in the socket and is still unread.

    The event loop tells of an end only after all that came before it, one turn later or more.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), _CLOSED)
    return bool(poll.poll(0))
