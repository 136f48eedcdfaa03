"""The clock every part is given instead of reading time itself."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class Clock(ABC):
    """Monotonic time in ms, and waiting by it."""

    @abstractmethod
    def now_ms(self) -> int:
        """Return monotonic time, ms since an arbitrary start."""

    @abstractmethod
    async def sleep_ms(self, ms: float) -> None:
        """Wait for `ms` milliseconds."""

    async def within_ms(self, ms: float, work: Coroutine[Any, Any, T]) -> T:
        """Run `work` and give up on it after `ms`.

        Raises
        ------
        TimeoutError
            When `work` has not ended in time; it is cancelled first.
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
