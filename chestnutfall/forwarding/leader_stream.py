"""Streams to controllers, one after another, until one of them leads."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from typing import Any

import grpc

from ..clock import Clock
from ..clock.cancelled import was_cancelled
from ..coordination.messages import FLEET_CODEC, FLEET_METHOD, PULSE_MS, NotLeading
from ..wire import RpcChannel
from .first_message_timeouts import FirstMessageTimeouts

log = logging.getLogger(__name__)
STREAM_TIMEOUT_MS = 3 * PULSE_MS
"""A stream without any message for three pulses counts as dead."""
CONNECT_MS = 150
"""Connecting takes a few ms; a host that is down or cut off never answers."""
RETRY_MS = 60
"""Delay before the next controller is tried: a tenth of an election, while a controller answers a
stream within a few ms."""
CLOSE_S = 0.2
"""Bounds the closing of a dead connection, which would delay the search for the next leader."""


class StreamListener(ABC):
    """What a stream to a leader is opened for."""

    @property
    @abstractmethod
    def controllers(self) -> list[str]:
        """Addresses of all controllers known, at least one."""

    @abstractmethod
    def on_opened(self) -> asyncio.Queue[Any]:
        """Return the queue of messages to send on a new stream, the first ones in it."""

    @abstractmethod
    def on_message(self, msg: Any, address: str) -> None:
        """Handle a message of the controller at `address`."""

    @abstractmethod
    def on_lost(self, address: str) -> None:
        """Note that the stream ended."""


class LeaderStream:
    """Finds the leader and keeps a stream to it open."""

    def __init__(self, listener: StreamListener, clock: Clock) -> None:
        self._listener = listener
        self._clock = clock
        self._first_message_timeouts = FirstMessageTimeouts()

    async def run(self) -> None:
        """Find the leader and stay connected to it, until cancelled."""
        turn = 0
        hint = ""
        while True:
            known = self._listener.controllers
            address = hint or known[turn % len(known)]
            turn += 1
            try:
                hint = await self._follow(address)
            except (Exception, asyncio.CancelledError) as exc:
                if isinstance(exc, asyncio.CancelledError) and was_cancelled():
                    raise
                # No other task awaits this one. If an unexpected message or an error of the RPC
                # library ended it, the gateway would stay without a leader until its restart.
                log.exception("leader: address=%s stream failed unexpectedly", address)
                hint = ""
            if not hint:
                await self._clock.sleep_ms(RETRY_MS)

    async def _follow(self, address: str) -> str:
        """Serve one stream until it ends; return the leader's address if the controller sent it."""
        # Each stream gets a new connection, since a middlebox may have dropped an idle one.
        channel = RpcChannel(address, FLEET_CODEC)
        try:
            await self._clock.within_ms(CONNECT_MS, channel.wait_connected())
            return await self._serve_stream(address, channel.stream(FLEET_METHOD))
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError, TimeoutError) as exc:
            log.info("leader: address=%s stream ended: %s", address, _describe(exc))
            return ""
        finally:
            with contextlib.suppress(Exception):
                await self._clock.within_ms(CLOSE_S * 1000, channel.close())

    async def _serve_stream(self, address: str, stream: Any) -> str:
        """Handle messages until the stream ends; return the leader's address if received."""
        writer = asyncio.ensure_future(self._write(stream))
        try:
            async for msg in self._read(stream, address):
                self._listener.on_message(msg, address)
                if isinstance(msg, NotLeading):
                    return msg.leader
            return ""
        finally:
            self._listener.on_lost(address)
            writer.cancel()
            stream.cancel()

    async def _write(self, stream: Any) -> None:
        out = self._listener.on_opened()
        try:
            while True:
                msg = await out.get()
                if FLEET_CODEC.can_encode(msg):
                    await stream.write(msg)
                else:
                    log.error("leader: a message can't be encoded: %s", type(msg).__name__)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as exc:
            log.debug("leader: writing ended: %s", _describe(exc))

    async def _read(self, stream: Any, address: str) -> AsyncIterator[Any]:
        try:
            msg = await self._clock.within_ms(
                self._first_message_timeouts.timeout_ms(address), stream.read()
            )
        except TimeoutError:
            self._first_message_timeouts.note_timeout(address)
            raise
        self._first_message_timeouts.note_message(address)
        while msg is not grpc.aio.EOF:
            yield msg
            msg = await self._clock.within_ms(STREAM_TIMEOUT_MS, stream.read())


def _describe(exc: BaseException) -> str:
    if isinstance(exc, grpc.aio.AioRpcError):
        return f"{exc.code().name} {exc.details()}"
    return repr(exc)
