"""Interface to the clock, which is passed to every component that needs time."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class Clock(ABC):
    """Monotonic time and waiting, in milliseconds.

    Components get a clock instead of reading time themselves, so that tests can replace it.
    """

    @abstractmethod
    def now_ms(self) -> int:
        """Return the monotonic time in ms since an arbitrary start."""

    @abstractmethod
    async def sleep_ms(self, ms: float) -> None:
        """Wait for `ms` milliseconds."""

    async def within_ms(self, ms: float, work: Coroutine[Any, Any, T]) -> T:
        """Run `work` with a timeout of `ms` milliseconds, and return its result.

        Raises
        ------
        TimeoutError
            When `work` has not ended in time; it is cancelled.
        """
        task = asyncio.ensure_future(work)
        timer = asyncio.ensure_future(self.sleep_ms(ms))
        try:
            await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            task.cancel()
            raise
        finally:
            timer.cancel()
        if task.done():
            return task.result()
        task.cancel()
        raise TimeoutError(f"no result within {ms} ms")
