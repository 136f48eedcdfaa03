"""Leaving without cutting anything off."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod

from ..clock import Clock

log = logging.getLogger(__name__)
UNTIL_BALANCED_MS = 2_500
"""A balancer that asks every second takes a host out after two misses; half a second to spare. Each
ms more is taken from the calls that come last, and these must end within the grace time: a draft
that came 3.0 s after the request to stop was cut off when its host was killed at 8 s."""
LAST_MOMENT_MS = 600
"""Left of the grace time for closing connections and ending."""
POLL_MS = 10
"""Small beside the time a request takes."""
QUIET_MS = 200
"""A request that was sent before its client saw the last answer has arrived by then."""


class Drainable(ABC):
    """What accepts callers and can stop step by step."""

    @abstractmethod
    def calls_in_progress(self) -> int:
        """Requests without their final answer."""

    @abstractmethod
    def announce_leaving(self) -> None:
        """Say "not ready", and tell clients to leave their connections."""

    @abstractmethod
    def refuse_new(self) -> None:
        """Refuse further requests, truthfully and with the time to come back."""


async def drain(entry: Drainable, clock: Clock, grace_ms: int) -> None:
    """Finish every request in progress, as far as the grace time allows."""
    asked_ms = clock.now_ms()
    last_ms = asked_ms + grace_ms - LAST_MOMENT_MS
    log.info("drain: begins with %d calls in progress", entry.calls_in_progress())
    entry.announce_leaving()
    # The balancer still sends new connections until it has seen us not ready, and clients come
    # back on kept ones. Refusing them would fail callers for nothing, so they are served, and
    # told to leave their connections; the last moment without any call is the one to end at.
    quiet_since_ms = clock.now_ms()
    refusing = False
    while clock.now_ms() < last_ms:
        await clock.sleep_ms(POLL_MS)
        now_ms = clock.now_ms()
        if not refusing and now_ms >= asked_ms + UNTIL_BALANCED_MS:
            # A client can come back on a connection that was idle all the while. Its request may
            # take longer than the grace time has left, and would be cut off half way.
            refusing = True
            entry.refuse_new()
        if entry.calls_in_progress():
            quiet_since_ms = now_ms
        elif now_ms >= asked_ms + UNTIL_BALANCED_MS and now_ms >= quiet_since_ms + QUIET_MS:
            break
    log.info(
        "drain: ends after ms=%d with %d calls in progress",
        clock.now_ms() - asked_ms,
        entry.calls_in_progress(),
    )
