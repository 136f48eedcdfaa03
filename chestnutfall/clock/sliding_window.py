"""Counting what happened lately."""

from __future__ import annotations

from collections import deque


class SlidingWindow:
    """Moments of the last `length_ms`, in the order in which they came."""

    def __init__(self, length_ms: int) -> None:
        self._length_ms = length_ms
        self._moments_ms: deque[int] = deque()

    def __len__(self) -> int:
        """Moments that are kept."""
        return len(self._moments_ms)

    def note(self, now_ms: int) -> None:
        """Count something that happens now."""
        # Who notes far more often than it counts would keep all moments for ever.
        self._forget_old(now_ms)
        self._moments_ms.append(now_ms)

    def count(self, now_ms: int) -> int:
        """How often it happened within the window that ends now."""
        self._forget_old(now_ms)
        return len(self._moments_ms)

    def drop_oldest(self) -> None:
        """Stop counting the oldest moment."""
        self._moments_ms.popleft()

    def _forget_old(self, now_ms: int) -> None:
        while self._moments_ms and self._moments_ms[0] <= now_ms - self._length_ms:
            self._moments_ms.popleft()
