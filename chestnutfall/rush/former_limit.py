"""A limit on connections that documents change, and what it was lately."""

from __future__ import annotations

from collections import deque

from ..clock import Clock

LEARN_MS = 60_000
"""Time within which clients learn that a limit has changed."""
FORGET_MS = 2 * LEARN_MS
"""Added to the end of a value and to the value itself: by then no connection is open that is kept
for it."""


class FormerLimit:
    """Remembers which values a limit had, as long as clients may rely on one.

    Parameters
    ----------
    value_ms : int
        The value in force.
    """

    def __init__(self, value_ms: int, clock: Clock) -> None:
        self._clock = clock
        self.value_ms = value_ms
        # Values that were in force, with the clock time until which; each is longer than those that
        # came after it, since a shorter one that ended earlier is never the longest.
        self._former: deque[tuple[int, int]] = deque()

    def __len__(self) -> int:
        return len(self._former)

    def set(self, value_ms: int) -> None:
        """Put another value in force."""
        if value_ms == self.value_ms:
            return
        now_ms = self._clock.now_ms()
        while self._former and self._former[-1][0] <= self.value_ms:
            self._former.pop()
        self._former.append((self.value_ms, now_ms))
        self.value_ms = value_ms
        while self._former and sum(self._former[0]) + FORGET_MS < now_ms:
            self._former.popleft()

    def longest_ms(self, since_ms: int) -> int:
        """Return the longest value that a client may have relied on from `since_ms` to now.

        A client may know a value for `LEARN_MS` after its end.
        """
        relied_on = (value for value, until in self._former if until >= since_ms - LEARN_MS)
        return max(self.value_ms, *relied_on, 0)
