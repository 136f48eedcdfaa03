"""Backoff of adapters whose load failed."""

from __future__ import annotations

MAX_DOUBLINGS = 6
MAX_REMEMBERED = 1024


class LoadFailures:
    """Time before which an adapter is not loaded again, doubled with each failure in a row."""

    def __init__(self) -> None:
        self._failures: dict[str, tuple[int, int]] = {}

    def failed(self, adapter: str, now_ms: int, backoff_ms: int) -> None:
        """Record a failed load."""
        count = self._failures.pop(adapter, (0, 0))[0]
        wait_ms = backoff_ms * 2 ** min(count, MAX_DOUBLINGS)
        self._failures[adapter] = (count + 1, now_ms + wait_ms)
        while len(self._failures) > MAX_REMEMBERED:
            del self._failures[next(iter(self._failures))]

    def loaded(self, adapter: str) -> None:
        """Forget an adapter's failures after a successful load."""
        self._failures.pop(adapter, None)

    def wait_ms(self, adapter: str, now_ms: int) -> int:
        """Time until the adapter may be loaded again; 0 when it may now."""
        return max(self._failures.get(adapter, (0, 0))[1] - now_ms, 0)
