"""An upstream that writes bytes without end to whatever it is sent."""

from __future__ import annotations

import socket
import threading

from ...control.upstream_record import UpstreamRecord

READ_BYTES = 65_536


class EndlessServer:
    """Answers each request with `first`, and then with `rest` until its peer closes.

    It runs in threads of its own, so that it writes however busy the event loop is.
    """

    def __init__(self, first: bytes, rest: bytes) -> None:
        self._first, self._rest = first, rest
        self._listening = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept_all, daemon=True).start()

    @property
    def upstream(self) -> UpstreamRecord:
        """The server as an upstream."""
        return UpstreamRecord("i0", "s", f"127.0.0.1:{self._listening.getsockname()[1]}", "dc")

    def _accept_all(self) -> None:
        while True:
            try:
                conn, _ = self._listening.accept()
            except OSError:
                return
            threading.Thread(target=self._write, args=(conn,), daemon=True).start()

    def _write(self, conn: socket.socket) -> None:
        with conn:
            try:
                conn.recv(READ_BYTES)
                conn.sendall(self._first)
                while True:
                    conn.sendall(self._rest)
            except OSError:
                # Its peer has closed the connection.
                return

    def close(self) -> None:
        """Stop listening."""
        self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
