"""Reading and writing of HTTP/1.1 by hand, and a client."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

HOST = "permits.example"


@dataclass
class Answer:
    """What a client got; status 0 if the connection ended before a head came."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        async for data in read_chunks(reader):
            body += data
    return body


async def read_chunks(reader: asyncio.StreamReader):
    while size := int((await reader.readline()).partition(b";")[0], 16):
        yield await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()


def head(first: str, headers: Iterable[tuple[str, object]]) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"{first}\r\n{lines}\r\n".encode()


async def ask(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: Iterable[tuple[str, object]],
    body: bytes = b"",
    within_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection, and return its answer."""
    answer = Answer(0)
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                length = () if method == "GET" else (("Content-Length", len(body)),)
                lines = (("Host", HOST), *headers, *length)
                writer.write(head(f"{method} {path} HTTP/1.1", lines) + body)
                first, answer.headers = await read_head(reader)
                answer.status = int(first.split()[1])
                if answer.headers.get("transfer-encoding", "").lower() == "chunked":
                    async for data in read_chunks(reader):
                        answer.body += data
                else:
                    answer.body = await read_body(reader, answer.headers)
                answer.is_whole = True
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError, ValueError):
        pass
    return answer
