"""Clients that write requests, read nothing and stay."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from ..platform import header_names as names
from ..platform.standin.adapter_store import MODEL
from ..platform.standin.operator import HOST
from ..platform.standin.tenants import KEYS, STEADY
from .process_office import KEYS as OWN_KEYS

CALL = "POST /again/x"
CHUNKED = "Transfer-Encoding: chunked"
PART_BYTES = 60_000
"""What a client writes at once."""
RECEIVE_BYTES = 4_096
"""Buffer of the system for what a client of a crowd doesn't read."""
QUIET_S = 1.5
"""Time without a byte taken from any client after which a crowd is in."""
MAX_ENTER_S = 40.0
"""A crowd that keeps a process busy for longer is in as well."""
_ids = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that all write the same, or each its own.

    Attributes
    ----------
    clients : int
        Number of connections.
    parts : iterable of bytes, or callable
        What one client writes, in parts; a callable is given the number of the client.
    """

    clients: int
    parts: Iterable[bytes] | Callable[[int], Iterable[bytes]]

    def by_client(self) -> Iterator[Iterable[bytes]]:
        """Yield what each client writes."""
        if callable(self.parts):
            yield from map(self.parts, range(self.clients))
        else:
            yield from itertools.repeat(tuple(self.parts), self.clients)


class CrowdClients:
    """The open connections of a crowd.

    Attributes
    ----------
    closed : int
        Connections that the server has closed or reset, as far as their client has noticed.
    """

    def __init__(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        self._address = (ip, int(port))
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._last_s = 0.0
        self.closed = 0

    async def __aenter__(self) -> CrowdClients:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.leave()

    async def enter(self, crowd: Crowd) -> None:
        """Open all connections, and return once no server takes any more of them."""
        loop = asyncio.get_running_loop()
        began_s = self._last_s = loop.time()
        for parts in crowd.by_client():
            self._tasks.append(asyncio.ensure_future(self._write(parts)))
        while loop.time() - self._last_s < QUIET_S and loop.time() - began_s < MAX_ENTER_S:
            await asyncio.sleep(0.05)

    async def _write(self, parts: Iterable[bytes]) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.setblocking(False)
        self._sockets.append(sock)
        try:
            await loop.sock_connect(sock, self._address)
            for part in parts:
                await loop.sock_sendall(sock, part)
                self._last_s = loop.time()
        except OSError:
            self.closed += 1

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


def head(call: str, *lines: str, ends: bool = True) -> bytes:
    """Return the head of a request; `call` is its method and path.

    It has the keys of callers on both of the dialects that gateways speak.
    """
    given = (
        f"{call} HTTP/1.1",
        f"Host: {HOST}",
        f"{names.REQUEST_ID}: {next(_ids):016x}",
        f"{names.KEY}: {KEYS[STEADY]}",
        f"Authorization: Bearer {OWN_KEYS['caller']}",
        *lines,
    )
    return "".join(f"{line}\r\n" for line in given).encode() + (b"\r\n" if ends else b"")


def chunked_body(size: int, chunk_bytes: int, call: str = CALL) -> Iterator[bytes]:
    """Yield a request of `size` bytes in chunks of which the last one is missing."""
    yield head(call, CHUNKED)
    chunk = f"{chunk_bytes:x}\r\n".encode() + b"p" * chunk_bytes + b"\r\n"
    together = max(PART_BYTES // chunk_bytes, 1)
    left = size // chunk_bytes
    while left > 0:
        count = min(together, left)
        left -= count
        yield chunk * count


def body_less_one(size: int) -> Iterator[bytes]:
    """Yield a request with a length whose last byte is missing."""
    yield head(CALL, f"Content-Length: {size}")
    yield from _filled(size - 1)


def chunk_extension(size: int) -> Iterator[bytes]:
    """Yield a request whose only chunk has an extension that doesn't end."""
    yield head(CALL, CHUNKED) + b"5;"
    yield from _filled(size)


def trailers(size: int) -> Iterator[bytes]:
    """Yield a request with trailers that don't end."""
    yield head(CALL, CHUNKED) + b"5\r\nphoto\r\n0\r\n"
    line = b"X-Filler: " + b"v" * 100 + b"\r\n"
    count = PART_BYTES // len(line)
    for _ in range(max(size // (count * len(line)), 1)):
        yield line * count


def unfinished_head(size: int) -> Iterator[bytes]:
    """Yield the beginning of a head, in lines of some hundred bytes."""
    lines = (f"X-Filler-{at:03d}: {'v' * 100}" for at in range(size // 116))
    yield head(CALL, *lines, ends=False)


def requests_ahead(
    count: int,
    body: bytes = b"",
    path: str = "/again/x",
    method: str = "POST",
    adapter: str = "",
    lines: tuple[str, ...] = (),
) -> Iterator[bytes]:
    """Yield whole requests one behind the other; those to engines name an adapter."""
    named = (f"{names.MODEL}: {MODEL}/{adapter}", f"{names.TOKEN_COUNTS}: 100,40")
    lines = (f"Content-Length: {len(body)}", *(named if adapter else ()), *lines)
    for _ in range(count):
        yield head(f"{method} {path}", *lines) + body


def _filled(size: int) -> Iterator[bytes]:
    """Yield `size` bytes in parts."""
    while size > 0:
        part = min(size, PART_BYTES)
        size -= part
        yield b"p" * part
