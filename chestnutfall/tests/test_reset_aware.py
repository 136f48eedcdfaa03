"""The first half of an answer must not be delivered as complete.

An upstream sends an answer without a length and crashes; its last bytes arrive together with the
reset. The event loop reports end of file for that, which is also how an answer without a length
ends. Only the error of the socket tells the two apart.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

import aiohttp
import uvloop

from ..clock import ManualClock
from ..connections import ConnectionNeed, ConnectionPool
from ..platform.upstream_connector import UpstreamConnector
from ..platform.upstream_send import CURRENT_SEND, UpstreamSend

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


async def _serve_one(listener: socket.socket, reset: bool) -> None:
    loop = asyncio.get_running_loop()
    conn, _ = await loop.sock_accept(listener)
    await loop.sock_recv(conn, 4096)
    await loop.sock_sendall(conn, HEAD)
    await asyncio.sleep(0.02)
    await loop.sock_sendall(conn, b"first half")
    if reset:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


async def _fetch(reset: bool) -> bytes:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        served = asyncio.ensure_future(_serve_one(listener, reset))
        port = listener.getsockname()[1]
        pool = ConnectionPool(lambda *_: 4, lambda _: None, ManualClock())
        CURRENT_SEND.set(UpstreamSend(ConnectionNeed("i1", "s", "a", True), "/", may_keep=True))
        connector = UpstreamConnector(pool, ManualClock())
        async with aiohttp.ClientSession(connector=connector) as session:
            async with session.get(f"http://127.0.0.1:{port}/") as resp:
                body = await resp.read()
        await served
        return body


class ResetAwareTest(unittest.TestCase):
    def test_a_closed_connection_ends_an_answer_without_a_length(self) -> None:
        self.assertEqual(uvloop.run(_fetch(reset=False)), b"first half")

    def test_a_reset_connection_fails_an_answer_without_a_length(self) -> None:
        with self.assertRaises((aiohttp.ClientError, ConnectionError)):
            uvloop.run(_fetch(reset=True))
