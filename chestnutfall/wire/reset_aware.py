"""HTTP connections that distinguish a TCP reset from the end of an answer."""

from __future__ import annotations

import socket

import aiohttp
from aiohttp.helpers import set_exception

from .bounded_handler import BoundedHandler


class ResetAwareHandler(BoundedHandler):
    """Fails an incomplete answer before aiohttp takes the end of the connection for its end.

    An answer without a length ends with its connection. aiohttp does not check how the connection
    ended, and libuv reports "end of file" when the last bytes and a reset arrive together. Without
    this class, the first half of a crashed upstream's answer would be delivered as complete. The
    reset can still be read from the socket, as SO_ERROR.
    """

    def eof_received(self) -> None:
        transport = self.transport
        sock = transport.get_extra_info("socket") if transport is not None else None
        if sock is not None:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._fail_incomplete_answer(OSError(error, "reset"))

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None:
            self._fail_incomplete_answer(exc)
        super().connection_lost(exc)

    def _fail_incomplete_answer(self, exc: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            set_exception(payload, aiohttp.ClientPayloadError(f"reset: {exc!r}"), exc)
