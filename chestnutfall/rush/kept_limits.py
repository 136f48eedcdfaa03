"""How long clients may keep a connection without a request."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..clock import Clock
from .former_limit import FormerLimit

log = logging.getLogger(__name__)
MARGIN_MS = 2_000
"""Added to each limit: an answer and the next request cross the link meanwhile."""


class KeptLimits:
    """The limits on idle connections and on heads of requests that come slowly.

    Documents change them. A client goes by the last document that it knows, so a connection stays
    open as long as any document allows that the client may know.

    Parameters
    ----------
    idle_ms, head_ms : int
        Time that a connection may be without a request, and that a head may take to come.
    count : callable
        Counts closed connections, by name.
    """

    def __init__(
        self, idle_ms: int, head_ms: int, clock: Clock, count: Callable[[str], None]
    ) -> None:
        self._clock = clock
        self._idle = FormerLimit(idle_ms, clock)
        self._head = FormerLimit(head_ms, clock)
        self.count = count

    def set(self, idle_ms: int, head_ms: int) -> None:
        """Put other limits in force."""
        if (idle_ms, head_ms) == (self._idle.value_ms, self._head.value_ms):
            return
        log.info("connections: kept idle_ms=%d head_ms=%d", idle_ms, head_ms)
        self._idle.set(idle_ms)
        self._head.set(head_ms)

    def idle_ms(self, for_ms: float) -> int:
        """Return how long a connection may be idle that has been so for `for_ms`."""
        return self._idle.longest_ms(self._clock.now_ms() - int(for_ms)) + MARGIN_MS

    def head_ms(self, for_ms: float) -> int:
        """Return how long the head of a request may take that has been coming for `for_ms`."""
        return self._head.longest_ms(self._clock.now_ms() - int(for_ms)) + MARGIN_MS
