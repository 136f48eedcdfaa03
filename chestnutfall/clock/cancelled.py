"""Whether a task was cancelled, or something that it waited for."""

from __future__ import annotations

import asyncio


def was_cancelled() -> bool:
    """Whether the running task was cancelled itself.

    A CancelledError also comes out of a future that others share, or of a connection that was
    closed; that is a failure of what the task waited for, and the task goes on.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
