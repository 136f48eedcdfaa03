"""Tasks that must run until they are cancelled."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger(__name__)


class TaskWatch:
    """Runs tasks, and notices the first that ends by itself.

    A controller one of whose tasks ended by an unexpected error would lead on without doing that
    task's work, and no other would take over.

    Attributes
    ----------
    ended : Future of str
        Done, with the name of the task, once one of them ended before it was cancelled.
    """

    def __init__(self) -> None:
        self.ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` as a task with a name."""
        task = asyncio.ensure_future(work)
        task.set_name(name)
        task.add_done_callback(self._note_ended)
        self._tasks.append(task)

    def _note_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        log.error("task: %s ended", task.get_name(), exc_info=task.exception())
        if not self.ended.done():
            self.ended.set_result(task.get_name())

    async def stop(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
