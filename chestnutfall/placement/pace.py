"""How fast a service's queue moves."""

from __future__ import annotations

from collections import deque

WINDOW_MS = 2_000
"""Long enough for a steady figure, short beside a request's time."""
LEAST_PER_S = 20.0
"""A queue that did not move at all, as after a change of leader, is not hopeless yet."""


class Pace:
    """Grants by service in a sliding window."""

    def __init__(self) -> None:
        self._granted_ms: dict[str, deque[int]] = {}

    def note(self, service: str, now_ms: int) -> None:
        """Count a grant."""
        self._granted_ms.setdefault(service, deque()).append(now_ms)

    def wait_ms(self, service: str, ahead: int, now_ms: int) -> float:
        """How long `ahead` requests take."""
        granted = self._granted_ms.setdefault(service, deque())
        while granted and granted[0] <= now_ms - WINDOW_MS:
            granted.popleft()
        per_s = max(len(granted) * 1000 / WINDOW_MS, LEAST_PER_S)
        return ahead * 1000 / per_s
