"""Connections of HTTP clients that are given up while they open."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
import unittest
from functools import partial
from typing import Any

import aiohttp
import uvloop

from ..wire.direct_connector import DirectConnector

MAX_TURNS = 4
"""Turns of the event loop within which it takes a connection over."""
OTHERS = 8


class DirectConnectorTest(unittest.TestCase):
    # Guards against a request that is cancelled as it connects and closes another's socket later.
    def test_a_cancelled_request_closes_no_socket_but_its_own(self) -> None:
        for turns in range(MAX_TURNS):
            with self.subTest(turns=turns):
                with asyncio.Runner(loop_factory=partial(_CancellingLoop, turns)) as runner:
                    self.assertEqual([], runner.run(_closed_for_others()))

    # Guards against failures to connect that callers of the connector can't tell from others.
    def test_a_closed_port_and_a_silent_host_fail_like_aiohttp_s_own(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            url = f"http://127.0.0.1:{closed.getsockname()[1]}/"
        with self.assertRaises(aiohttp.ClientConnectorError):
            uvloop.run(_get(url))
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            address = full.getsockname()
            waiting = [_connect(address) for _ in range(3)]
            with self.assertRaises(aiohttp.ConnectionTimeoutError):
                uvloop.run(_get(f"http://127.0.0.1:{address[1]}/"))
            for one in waiting:
                one.close()


class _CancellingLoop(uvloop.Loop):
    """Cancels each task that opens a connection, some turns after it gave it to the loop."""

    def __init__(self, turns: int) -> None:
        super().__init__()
        self._turns = turns

    async def create_connection(self, *args: Any, **options: Any) -> Any:
        task = asyncio.current_task()
        assert task is not None
        self._cancel_later(task, self._turns)
        return await super().create_connection(*args, **options)

    def _cancel_later(self, task: asyncio.Task[Any], turns: int) -> None:
        if turns == 0:
            task.cancel()
            return
        self.call_soon(self._cancel_later, task, turns - 1)


async def _closed_for_others() -> list[int]:
    """Let a request be cancelled; return the sockets of others that are closed for it."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    others: list[socket.socket] = []
    async with aiohttp.ClientSession(connector=DirectConnector()) as session:
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        request = asyncio.ensure_future(_ask_and_clean_up(session, url, others))
        await asyncio.wait([request])
        del request
        gc.collect()
        closed = [one.detach() for one in others if not _is_open(one.fileno())]
        for one in others:
            one.close()
    server.close()
    return closed


async def _ask_and_clean_up(
    session: aiohttp.ClientSession, url: str, others: list[socket.socket]
) -> None:
    try:
        async with session.get(url):
            pass
    except asyncio.CancelledError:
        # Whoever waits for something here still holds the frames of the failed request.
        await asyncio.sleep(0.01)
        others += [socket.socket() for _ in range(OTHERS)]
        raise


def _is_open(number: int) -> bool:
    try:
        os.fstat(number)
    except OSError:
        # Closed by somebody else.
        return False
    return True


async def _get(url: str) -> None:
    timeout = aiohttp.ClientTimeout(sock_connect=0.05)
    async with aiohttp.ClientSession(connector=DirectConnector(), timeout=timeout) as session:
        async with session.get(url):
            pass


def _connect(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(address)
    return sock
