"""Rate and concurrency of each caller at this gateway."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from ..clock import Clock
from ..config.caller import Caller
from ..requests import Refusal

BURST_S = 1.0


class CallerLimits:
    """A token bucket and a count of requests in progress for each caller."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, tuple[float, int]] = {}
        self._running: Counter[str] = Counter()

    @contextmanager
    def admitted(self, name: str, caller: Caller) -> Iterator[None]:
        """Count a request in for as long as the context lasts.

        Raises
        ------
        Refusal
            When the caller is over a limit.
        """
        if self._running[name] >= caller.concurrency:
            raise Refusal(
                429,
                "concurrency_limited",
                f"at most {caller.concurrency} at once",
                retry_after_ms=1000,
            )
        self._take_token(name, caller.rate_per_s)
        self._running[name] += 1
        try:
            yield
        finally:
            self._running[name] -= 1
            if not self._running[name]:
                del self._running[name]

    def _take_token(self, name: str, per_s: float) -> None:
        now_ms = self._clock.now_ms()
        full = max(per_s * BURST_S, 1.0)
        tokens, filled_ms = self._buckets.get(name, (full, now_ms))
        tokens = min(tokens + (now_ms - filled_ms) * per_s / 1000, full)
        if tokens < 1:
            self._buckets[name] = (tokens, now_ms)
            wait_ms = int((1 - tokens) * 1000 / per_s) + 1
            raise Refusal(429, "rate_limited", f"at most {per_s} a second", retry_after_ms=wait_ms)
        self._buckets[name] = (tokens - 1, now_ms)
