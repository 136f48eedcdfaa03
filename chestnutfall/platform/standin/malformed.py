"""Answers of a stand-in upstream in trouble whose heads are none."""

from __future__ import annotations

from enum import Enum

from aiohttp import web


class Malformed(Enum):
    """What is wrong with a head."""

    STATUS = "a status of 000"
    CONTROL = "a control byte in a field"
    BLANK = "a line that begins with a blank"
    STOPS = "a head that stops midway"


_FIRST_LINES = {
    Malformed.STATUS: "HTTP/1.1 000 X\r\n",
    Malformed.CONTROL: "HTTP/1.1 200 OK\r\nX-Note: a\x01b\r\n",
    Malformed.BLANK: "HTTP/1.1 200 OK\r\nX-Note: a\r\n b: c\r\n",
    Malformed.STOPS: "HTTP/1.1 200 OK\r\n",
}


def write_malformed(
    request: web.BaseRequest, headers: dict[str, str], kind: Malformed, body: bytes
) -> web.StreamResponse:
    """Answer a request with a head of a kind and a sound body, and close its connection."""
    transport = request.transport
    if transport is not None:
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"{_FIRST_LINES[kind]}{fields}Content-Length: {len(body)}\r\n\r\n"
        if kind is Malformed.STOPS:
            head, body = head[: -len("\r\n")], b""
        # Past the library's own framing.
        transport.write(head.encode() + body)
        transport.close()
    return web.StreamResponse(headers=headers)
