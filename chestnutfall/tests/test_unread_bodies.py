"""Answers that are written before the whole body of a request is in.

Guards against a reset that takes a refusal along: a socket that is closed with bytes unread answers
with a reset, and the client loses what it had not read yet.
"""

from __future__ import annotations

import asyncio
import socket

from ..caller_edge.caller_app import BODY_TIMEOUT_MS, MAX_BODY_BYTES
from .fakes.caller_edge_case import CallerEdgeCase

CHUNK = b"x" * 65_536
BODY_BYTES = MAX_BODY_BYTES + 3 * 1024 * 1024


class UnreadBodyTest(CallerEdgeCase):
    def _head(self, key: str, length: int, extra: str = "") -> bytes:
        lines = (
            "POST /v1/completions HTTP/1.1",
            "Host: x",
            f"Authorization: Bearer {key}",
            f"Content-Length: {length}",
        )
        return ("\r\n".join(lines) + f"{extra}\r\n\r\n").encode()

    async def _connect(self) -> socket.socket:
        conn = socket.create_connection(("127.0.0.1", self.port))
        conn.setblocking(False)
        return conn

    async def _send_then_read(self, conn: socket.socket, head: bytes, length: int) -> bytes:
        """Send a whole body as fast as it is taken, and read only afterwards."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(conn, head)
        for _ in range(length // len(CHUNK)):
            await loop.sock_sendall(conn, CHUNK)
        return await self._read_answer(conn)

    async def _read_answer(self, conn: socket.socket) -> bytes:
        got = b""
        while b'"request_id"' not in got:
            part = await asyncio.get_running_loop().sock_recv(conn, 65_536)
            if not part:
                break
            got += part
        return got

    # Guards against a refusal that a client never reads since it is still sending.
    async def test_early_refusals_reach_a_client_that_is_still_sending(self) -> None:
        for key, code in (("stranger", b"invalid_key"), ("ana", b"body_too_large")):
            for extra in ("", "\r\nConnection: close"):
                with self.subTest(code=code, extra=extra):
                    conn = await self._connect()
                    head = self._head(key, BODY_BYTES, extra)
                    got = await self.finish(self._send_then_read(conn, head, BODY_BYTES))
                    self.assertIn(b'"code": "' + code, got)
                    conn.close()
        self.assertEqual(self.ends(), {"refused": 4})

    # Guards against a connection that ends without a word when its body trickles in.
    async def test_a_body_that_is_too_slow_is_refused(self) -> None:
        conn = await self._connect()
        await asyncio.get_running_loop().sock_sendall(conn, self._head("ana", 1_000) + b"some")
        for _ in range(BODY_TIMEOUT_MS // 10 + 5):
            await self.step()
        got = await self.finish(self._read_answer(conn))
        self.assertIn(b'"code": "body_too_slow"', got)
        conn.close()
        self.assertEqual(self.ends(), {"refused": 1})

    # Guards against a client that is said to have left since it sent a body that can't be read. Its
    # end isn't found, so it is refused like a slow one.
    async def test_a_body_that_can_not_be_read_is_refused(self) -> None:
        conn = await self._connect()
        head = (
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ana\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(conn, head + b"5\r\nabcde\r\n")
        for _ in range(5):
            await self.step()
        await loop.sock_sendall(conn, b"zz\r\nnot a chunk\r\n")
        got = await self.finish(self._read_answer(conn))
        self.assertIn(b'"code": "body_too_slow"', got)
        self.assertEqual(self.ends(), {"refused": 1})
        conn.close()
