"""Draining of a server before its process ends."""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod

from ..clock import Clock

log = logging.getLogger(__name__)
BALANCER_NOTICE_MS = 2_500
"""Time for load balancers to stop sending new connections. A balancer that polls every second
removes a host after two failed checks; half a second is spare. A longer time leaves less of the
grace time to the last calls: at 3.0 s, a call that arrived just before the end of this time was
cut off when its host was killed at 8 s."""
CLOSE_RESERVE_MS = 600
"""Part of the grace time reserved for closing connections and ending the process."""
POLL_MS = 10
"""Interval between checks for calls in progress; short compared with a request."""
QUIET_MS = 200
"""Time without any call after which the drain ends. A request that its client sent before it saw
the last answer arrives within this time."""


class Drainable(ABC):
    """A server that can stop serving clients step by step."""

    @abstractmethod
    def calls_in_progress(self) -> int:
        """Return the number of requests without a final answer."""

    @abstractmethod
    def announce_leaving(self) -> None:
        """Report "not ready" to load balancers, and ask clients to close their connections."""

    @abstractmethod
    def refuse_new(self) -> None:
        """Refuse further requests as not run, with a retry time."""


async def drain(server: Drainable, clock: Clock, grace_ms: int) -> None:
    """Finish the requests in progress before the process ends.

    New requests are served for `BALANCER_NOTICE_MS` and refused afterwards. Returns once no call
    has been in progress for `QUIET_MS`, or shortly before `grace_ms` is over.

    Parameters
    ----------
    grace_ms : int
        Time from now until the process is killed.
    """
    asked_ms = clock.now_ms()
    last_ms = asked_ms + grace_ms - CLOSE_RESERVE_MS
    log.info("drain: begins with %d calls in progress", server.calls_in_progress())
    server.announce_leaving()
    # Load balancers send new connections until they have seen this host as not ready, and clients
    # reuse kept connections. Refusing these requests would fail clients needlessly, so they are
    # served, and the clients are asked to close their connections. The drain ends after a moment
    # without any call.
    quiet_since_ms = clock.now_ms()
    refusing = False
    while clock.now_ms() < last_ms:
        await clock.sleep_ms(POLL_MS)
        now_ms = clock.now_ms()
        if not refusing and now_ms >= asked_ms + BALANCER_NOTICE_MS:
            # A client may send a request on a connection that was idle until now. The request may
            # take longer than what is left of the grace time and would be cut off halfway.
            refusing = True
            server.refuse_new()
        if server.calls_in_progress():
            quiet_since_ms = now_ms
        elif now_ms >= asked_ms + BALANCER_NOTICE_MS and now_ms >= quiet_since_ms + QUIET_MS:
            break
    log.info(
        "drain: ends after ms=%d with %d calls in progress",
        clock.now_ms() - asked_ms,
        server.calls_in_progress(),
    )
