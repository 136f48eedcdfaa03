"""Turns for long requests of which only so many may be on their way together."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class ByteTurns:
    """Lets requests pass whose bodies have no more than `max_bytes` together.

    One alone always passes, however long it is. The others wait, the first that came first.

    Parameters
    ----------
    free_bytes : int
        Bodies of up to this length pass at once.
    """

    def __init__(self, max_bytes: int, free_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._free_bytes = free_bytes
        self._passing = 0
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    @asynccontextmanager
    async def turn(self, size: int) -> AsyncIterator[None]:
        """Wait until a body of `size` bytes may pass, and count it while the context lasts."""
        if size <= self._free_bytes:
            yield
            return
        await self._begin(size)
        try:
            yield
        finally:
            self._end(size)

    async def _begin(self, size: int) -> None:
        if not self._waiting and self._has_room(size):
            self._passing += size
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((size, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                # Its turn had come when it was cancelled.
                self._end(size)
            else:
                self._let_pass()
            raise

    def _end(self, size: int) -> None:
        self._passing -= size
        self._let_pass()

    def _let_pass(self) -> None:
        while self._waiting:
            size, turn = self._waiting[0]
            if turn.done():
                self._waiting.popleft()
            elif self._has_room(size):
                self._waiting.popleft()
                self._passing += size
                turn.set_result(None)
            else:
                return

    def _has_room(self, size: int) -> bool:
        return not self._passing or self._passing + size <= self._max_bytes
