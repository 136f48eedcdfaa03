"""Whether the client of the request that the running task serves still waits for its answer."""

from __future__ import annotations

from collections.abc import Callable
from contextvars import ContextVar


class Unawaited(Exception):
    """A request was not sent, since its client has left."""

    # No `ConnectionError`: whoever handles those of upstreams must not take it for one of them.


def _always() -> bool:
    return True


_IS_AWAITED: ContextVar[Callable[[], bool]] = ContextVar("is_awaited", default=_always)
"""Held by the task that serves a request, and by all that it starts: whoever sends the request has
to ask, at whatever depth and for whichever attempt."""


def send_while(is_awaited: Callable[[], bool]) -> None:
    """Let this task, and those that it starts, send requests only while `is_awaited` holds."""
    _IS_AWAITED.set(is_awaited)


def send_always() -> None:
    """Let this task send requests for which no client waits, such as a cancellation."""
    _IS_AWAITED.set(_always)


def check_awaited() -> None:
    """Look a last time before a request is sent.

    An event loop that is late reads a request while the end of its connection lies unread behind
    it, and what was awaited since may have taken seconds.

    Raises
    ------
    Unawaited
        When the client has left.
    """
    if not _IS_AWAITED.get()():
        raise Unawaited("the client has left")
