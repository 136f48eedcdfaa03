"""What wakes one task up."""

from __future__ import annotations

import asyncio


class Waker:
    """Lets one task wait until any of several parts of its work wakes it up.

    The parts hold this object instead of the task's own: they would make a cycle of references, and
    a call would stay in memory with its body, long after it has ended, until the next full garbage
    collection.
    """

    def __init__(self) -> None:
        self._waiting: asyncio.Future[None] | None = None

    def wake(self) -> None:
        """Wake the task up, if it waits."""
        if self._waiting is not None and not self._waiting.done():
            self._waiting.set_result(None)

    def begin(self) -> asyncio.Future[None]:
        """Return what the task waits for from now on."""
        self._waiting = asyncio.get_running_loop().create_future()
        return self._waiting

    def end(self) -> None:
        """Note that the task no longer waits."""
        self._waiting = None
