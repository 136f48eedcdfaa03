"""A client that opens a connection for each request."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from ...settings.host_port import split_address
from .. import header_names as names
from .operator import HOST
from .tenants import KEYS, STEADY
from .upstream import ENTRY_HEADER, answer_body

DEADLINE_MS = 2_500
CLIENT_TIMEOUT_S = 3.0
"""A client waits this long, which is past its deadline, so that the refusal of a gateway that read
its request late reaches it."""
UNREAD_STATUS = 0
NO_ANSWER_STATUS = -1


@dataclass(frozen=True, slots=True)
class ConnectingAttempt:
    """What came of one connection.

    Attributes
    ----------
    status : int
        HTTP status; `UNREAD_STATUS` if the connection was refused or closed without an answer,
        `NO_ANSWER_STATUS` if nothing had come in time.
    whole : bool
        Whether its answer is the only correct one.
    connected : bool
        Whether there was a connection to send it on.
    """

    request_id: str
    gateway: str
    sent_s: float
    took_s: float
    status: int
    whole: bool = False
    reason: str = ""
    connected: bool = True


class _NotConnected(Exception):
    """The gateway took no connection."""


class ConnectingClient:
    """Sends each request on a connection of its own, which ends with the answer."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    async def send(self, gateway: str, route: str) -> ConnectingAttempt:
        """Send one request to the address `gateway` and read its answer."""
        request_id = f"{self._rng.randrange(16**16):016x}"
        sent_s = time.monotonic()
        status, body, connected = NO_ANSWER_STATUS, b"", True
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                request = request_bytes(request_id, gateway, route, {"Connection": "close"})
                status, body = await _exchange(gateway, request)
        except _NotConnected:
            status, connected = UNREAD_STATUS, False
        except TimeoutError:
            # What was not answered in time counts with its status.
            pass
        took_s = time.monotonic() - sent_s
        whole = status == 200 and body == answer_body(request_id)
        reason = "" if status == 200 else body.decode()
        return ConnectingAttempt(
            request_id, gateway, sent_s, took_s, status, whole, reason, connected
        )


def request_bytes(request_id: str, gateway: str, route: str, more: dict[str, str]) -> bytes:
    """Return the bytes of a request, with some headers more."""
    content = b"photo"
    headers = {
        "Host": HOST,
        "Content-Length": str(len(content)),
        names.REQUEST_ID: request_id,
        names.DEADLINE: str(DEADLINE_MS),
        names.KEY: KEYS[STEADY],
        ENTRY_HEADER: gateway,
        **more,
    }
    lines = [f"POST /{route}/x HTTP/1.1", *(f"{name}: {text}" for name, text in headers.items())]
    return "\r\n".join((*lines, "", "")).encode() + content


async def _exchange(gateway: str, request: bytes) -> tuple[int, bytes]:
    """Return status and body of the answer on a new connection."""
    try:
        reader, writer = await asyncio.open_connection(*split_address(gateway))
    except OSError as exc:
        raise _NotConnected from exc
    try:
        writer.write(request)
        answer = await reader.read()
    except OSError:
        return UNREAD_STATUS, b""
    finally:
        writer.close()
    if not answer:
        return UNREAD_STATUS, b""
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), body
