"""Clients that leave before they have their answer."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from ...settings.host_port import split_address
from .. import header_names as names
from .adapter_store import MODEL
from .client import STREAMED_ROUTES
from .connecting_client import request_bytes

CONNECT_S = 2.0
READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class LeftRequest:
    """A request whose client closed its connection.

    Attributes
    ----------
    left_s : float
        Time of `time.monotonic` at which it did.
    """

    request_id: str
    gateway: str
    route: str
    left_s: float


class LeavingClient:
    """Sends requests, each on a connection of its own, and leaves after some time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    async def send(self, gateway: str, route: str, after_s: float) -> LeftRequest | None:
        """Send a request and leave after `after_s`, or with the first part of the answer.

        Returns None if no connection opened, or if something came before.
        """
        request_id = f"{self._rng.randrange(16**16):016x}"
        is_reset = self._rng.random() < 0.5
        more = {}
        if route in STREAMED_ROUTES:
            adapter = f"{MODEL}/a{self._rng.randrange(12)}"
            more = {names.MODEL: adapter, names.TOKEN_COUNTS: "100,40"}
        opening = asyncio.open_connection(*split_address(gateway))
        try:
            reader, writer = await asyncio.wait_for(opening, CONNECT_S)
        except (OSError, TimeoutError):
            return None
        writer.write(request_bytes(request_id, gateway, route, more))
        is_answered = await _comes_within(reader, after_s)
        if is_reset:
            writer.transport.abort()
        else:
            writer.close()
        return None if is_answered else LeftRequest(request_id, gateway, route, time.monotonic())


async def _comes_within(reader: asyncio.StreamReader, within_s: float) -> bool:
    """Whether something arrives in time, or the connection ends."""
    if within_s <= 0:
        return False
    try:
        await asyncio.wait_for(reader.read(READ_BYTES), within_s)
    except TimeoutError:
        return False
    except OSError:
        # The connection was reset.
        return True
    return True
