"""Places and queue of a stand-in upstream of a plain service."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

PLACES = 4
QUEUE = 12


class NoRoom(Exception):
    """The queue is full; the request did not run."""


class StandInRoom:
    """Runs `PLACES` requests at once in order of arrival, and refuses those beyond `QUEUE` more.

    Attributes
    ----------
    slowdown : float
        How many times as long as usual work takes now.
    refused : int
        Requests that found no room so far.
    """

    def __init__(self) -> None:
        self.slowdown = 1.0
        self.refused = 0
        self._running = 0
        self._queue: deque[asyncio.Future[None]] = deque()

    def load(self) -> str:
        """Return the value of the load header."""
        return f"{self._running},{len(self._queue)},{PLACES},{round(100 * self.slowdown)}"

    @asynccontextmanager
    async def place(self) -> AsyncIterator[None]:
        """Hold a place; wait for it in the queue.

        Raises
        ------
        NoRoom
        """
        if self._running >= PLACES:
            await self._wait()
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            while self._queue and self._running < PLACES:
                waiting = self._queue.popleft()
                if not waiting.done():
                    waiting.set_result(None)
                    break

    async def _wait(self) -> None:
        if len(self._queue) >= QUEUE:
            self.refused += 1
            raise NoRoom
        waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.append(waiting)
        try:
            await waiting
        finally:
            if waiting in self._queue:
                self._queue.remove(waiting)
