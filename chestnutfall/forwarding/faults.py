"""Errors that a call meets on its way and that nothing there expects."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable

from ..clock.cancelled import was_cancelled
from .caller_reply import CallerGone
from .reply_lock import ReplyTaken

FAULT = "gateway_fault"
"""Reason of an end, and of the loss of an answer, after an error that nothing expects."""


class InnerTimeout(Exception):
    """Something that a call waited for timed out by itself, before the call's own time was up."""


async def keep_timeouts_apart(work: Awaitable[None]) -> None:
    """Run `work`, whose own timeouts are raised as `InnerTimeout`."""
    try:
        await work
    except TimeoutError as exc:
        raise InnerTimeout(str(exc)) from exc


def is_fault(exc: BaseException) -> bool:
    """Whether an error is one that nothing expects, and that another send may not meet.

    The end of the call itself is none, nor is an assertion, which would fail again.
    """
    match exc:
        case CallerGone() | ReplyTaken() | AssertionError():
            return False
        case asyncio.CancelledError():
            return not was_cancelled()
        case _:
            return isinstance(exc, Exception)


def fault_text(fault: BaseException) -> str:
    """Describe an error by its type, the place that raised it, and its message."""
    raised = fault.__cause__ or fault
    frames = traceback.extract_tb(raised.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "unknown"
    return f"{type(raised).__name__} at={place} message={raised}"
