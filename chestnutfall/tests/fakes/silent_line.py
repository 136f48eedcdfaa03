"""A connection between two gateways, in one process and by a manual clock."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from typing import Any

import grpc

from ...clock import Clock
from ...wire import Codec

Serve = Callable[[AsyncIterator[Any], Any], AsyncIterator[Any]]


class SilentLine:
    """Takes the place of `RpcChannel` towards one gateway, and may fall silent.

    Attributes
    ----------
    serve : callable
        Serves the streams at the other end.
    answer : callable
        Answers single messages there.
    silent_until_ms : int
        Clock time until which no message arrives on either side; those under way arrive then.
    is_connected : bool
        Whether a connection is open; otherwise opening one needs an answer of the other end.
    is_closed : bool
        Never, since retired connections stay open here.
    """

    def __init__(self, codec: Codec, clock: Clock) -> None:
        self.serve: Serve
        self.answer: Callable[[Any, Any], Awaitable[Any]]
        self.silent_until_ms = 0
        self.is_connected = False
        self.is_closed = False
        self.codec = codec
        self._clock = clock

    def __call__(self, *args: Any) -> SilentLine:
        """Return this line for each connection that is opened."""
        return self

    def be_silent(self, ms: int) -> None:
        """Let nothing pass for some time."""
        self.silent_until_ms = self._clock.now_ms() + ms

    async def passes(self) -> None:
        """Wait until messages pass."""
        while (left_ms := self.silent_until_ms - self._clock.now_ms()) > 0:
            await self._clock.sleep_ms(left_ms)

    async def wait_connected(self) -> None:
        """Wait until a connection is open."""
        if not self.is_connected:
            await self.passes()
            self.is_connected = True

    def stream(self, method: str) -> SilentLineStream:
        """Open a stream to the other end."""
        return SilentLineStream(self)

    async def call(self, method: str, msg: Any, timeout_ms: float) -> Any:
        """Send a message to the other end and return its reply."""
        await self.passes()
        return await self.answer(msg, None)

    def retire(self) -> None:
        """Take no new streams; this line has none to close."""

    async def close(self, grace_s: float | None = None) -> None:
        """Close the connection."""


class SilentLineStream:
    """One stream on a line, with every message encoded and decoded."""

    def __init__(self, line: SilentLine) -> None:
        self._line = line
        self._to_service: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._to_caller: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._serving = asyncio.ensure_future(self._serve())

    async def _serve(self) -> None:
        with suppress(asyncio.CancelledError):
            async for msg in self._line.serve(self._received(), None):
                self._to_caller.put_nowait(self._line.codec.encode(msg))
        self._to_caller.put_nowait(None)

    async def _received(self) -> AsyncIterator[Any]:
        while (data := await self._to_service.get()) is not None:
            await self._line.passes()
            yield self._line.codec.decode(data)

    async def write(self, msg: Any) -> None:
        """Send a message."""
        self._to_service.put_nowait(self._line.codec.encode(msg))

    async def done_writing(self) -> None:
        """Tell the other end that no message follows."""
        self._to_service.put_nowait(None)

    async def read(self) -> Any:
        """Return the next message, or `grpc.aio.EOF`."""
        data = await self._to_caller.get()
        await self._line.passes()
        return grpc.aio.EOF if data is None else self._line.codec.decode(data)

    def cancel(self) -> None:
        """End the stream."""
        self._serving.cancel()
