"""Whether a task is cancelled itself."""

from __future__ import annotations

import asyncio


def is_cancelled() -> bool:
    """Whether the running task is cancelled itself.

    False if a `CancelledError` comes from something awaited that was cancelled, such as a future
    that several tasks share, or an RPC whose connection was closed.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
