"""A stream of messages to a helper that tells how it ended."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import grpc

from ..clock.cancelled import was_cancelled


class HelpStream:
    """A gRPC call whose end by its own side is an error of the call, not of whoever waits for it.

    gRPC cancels what waits for a call when its connection is closed, for whatever reason. Without
    this, a request that a helper sends would take that for its own cancellation.
    """

    def __init__(self, call: Any) -> None:
        self._call = call

    async def write(self, msg: Any) -> None:
        """Send a message.

        Raises
        ------
        asyncio.InvalidStateError
            When the connection was closed.
        """
        with _closed_apart():
            await self._call.write(msg)

    async def done_writing(self) -> None:
        """Tell the helper that no message follows."""
        with _closed_apart():
            await self._call.done_writing()

    async def read(self) -> Any:
        """Return the next message, or `grpc.aio.EOF`."""
        with _closed_apart():
            return await self._call.read()

    def cancel(self) -> None:
        """End the call."""
        self._call.cancel()


@contextmanager
def _closed_apart() -> Iterator[None]:
    try:
        yield
    except asyncio.CancelledError as exc:
        if was_cancelled():
            raise
        raise asyncio.InvalidStateError("the connection was closed") from exc
    except grpc.aio.UsageError as exc:
        raise asyncio.InvalidStateError(str(exc)) from exc
