"""Errors that a call meets on its way and that nothing there expects."""

from __future__ import annotations

import asyncio
import traceback


def is_cancelled() -> bool:
    """Whether the running task is cancelled itself.

    False if a `CancelledError` comes from something awaited that was cancelled, such as a future
    that several calls share.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def fault_text(fault: BaseException) -> str:
    """Describe an error by its type, the place that raised it, and its message."""
    frames = traceback.extract_tb(fault.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "unknown"
    return f"{type(fault).__name__} at={place} message={fault}"
