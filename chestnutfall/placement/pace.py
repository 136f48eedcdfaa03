"""How fast a service's queue moves."""

from __future__ import annotations

from collections import defaultdict
from functools import partial

from ..clock import SlidingWindow

WINDOW_MS = 2_000
"""Long enough for a steady figure, short beside a request's time."""
LEAST_PER_S = 20.0
"""A queue that did not move at all, as after a change of leader, is not hopeless yet."""


class Pace:
    """Grants by service in a sliding window."""

    def __init__(self) -> None:
        self._granted: defaultdict[str, SlidingWindow] = defaultdict(
            partial(SlidingWindow, WINDOW_MS)
        )

    def note(self, service: str, now_ms: int) -> None:
        """Count a grant."""
        self._granted[service].note(now_ms)

    def wait_ms(self, service: str, ahead: int, now_ms: int) -> float:
        """How long `ahead` requests take."""
        per_s = max(self._granted[service].count(now_ms) * 1000 / WINDOW_MS, LEAST_PER_S)
        return ahead * 1000 / per_s
