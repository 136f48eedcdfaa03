"""Count of recent events."""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """Times of the events in the last `length_ms` milliseconds, oldest first."""

    def __init__(self, length_ms: int) -> None:
        self._length_ms = length_ms
        self._event_times_ms: deque[int] = deque()

    def __len__(self) -> int:
        """Return the number of event times in memory, some of which may be out of the window."""
        return len(self._event_times_ms)

    def note(self, now_ms: int) -> None:
        """Add an event at `now_ms`."""
        # Without this, a window that gets events but is seldom counted would grow without bound.
        self._drop_expired(now_ms)
        self._event_times_ms.append(now_ms)

    def count(self, now_ms: int) -> int:
        """Return the number of events in the window that ends at `now_ms`."""
        self._drop_expired(now_ms)
        return len(self._event_times_ms)

    def drop_oldest(self) -> None:
        """Remove the oldest event."""
        self._event_times_ms.popleft()

    def remove(self, at_ms: int) -> bool:
        """Remove an event at `at_ms`; return False if there is none."""
        if at_ms not in self._event_times_ms:
            return False
        self._event_times_ms.remove(at_ms)
        return True

    def _drop_expired(self, now_ms: int) -> None:
        while self._event_times_ms and self._event_times_ms[0] <= now_ms - self._length_ms:
            self._event_times_ms.popleft()
