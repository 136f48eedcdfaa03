"""Units that a gateway admitted recently."""

from __future__ import annotations

from collections import deque

SLICE_MS = 500
"""Short compared with the windows of quotas; long enough that few slices are summed per query."""


class UseHistory:
    """Counts units over the last `length_ms`, in slices of `SLICE_MS`."""

    def __init__(self, length_ms: int) -> None:
        self._length_ms = length_ms
        self._slices: deque[tuple[int, float]] = deque()

    def note(self, units: float, now_ms: int) -> None:
        """Count units that are admitted now; negative if given back."""
        slice_ms = now_ms - now_ms % SLICE_MS
        if self._slices and self._slices[-1][0] == slice_ms:
            units += self._slices.pop()[1]
        self._slices.append((slice_ms, units))
        self._forget(now_ms)

    def per_s(self, now_ms: int) -> float:
        """Mean units per second over the whole window."""
        self._forget(now_ms)
        return max(sum(units for _, units in self._slices), 0.0) * 1000 / self._length_ms

    def _forget(self, now_ms: int) -> None:
        while self._slices and self._slices[0][0] <= now_ms - self._length_ms:
            self._slices.popleft()
