"""How fast a service's queue moves."""

from __future__ import annotations

from ..clock import SlidingWindow

WINDOW_MS = 2_000
"""Long enough for a steady figure, short beside a request's time."""
SPAN_MS = 250
"""About one load: a shorter time since the first grant says nothing yet."""
LEAST_PART = 0.33
"""A queue that did not move lately, as after a change of leader or in a lull, is not hopeless yet.
A third of what the engines can start is expected of them in any case."""
LEAST_LATE_PART = 0.07
"""The same for requests that will be late: one a second of an ordinary engine. They get what those
that can be in time leave over, and when that was nothing for two seconds, there is little hope that
it becomes more."""


class _Grants:
    """Grants of one kind, and since when they come without a pause."""

    def __init__(self) -> None:
        self._window = SlidingWindow(WINDOW_MS)
        self._since_ms = 0

    def note(self, now_ms: int) -> None:
        if not self._window.count(now_ms):
            self._since_ms = now_ms
        self._window.note(now_ms)

    def per_s(self, now_ms: int) -> float:
        # Counted over the whole window, a leader that began half a second ago seems four times as
        # slow as it is. Symptom: after an outage callers are refused who could be served.
        span_ms = min(max(now_ms - self._since_ms, SPAN_MS), WINDOW_MS)
        return self._window.count(now_ms) * 1000 / span_ms


class Pace:
    """Grants by service, apart for requests in time and late ones."""

    def __init__(self) -> None:
        self._in_time: dict[str, _Grants] = {}
        self._late: dict[str, _Grants] = {}

    def note(self, service: str, in_time: bool, now_ms: int) -> None:
        """Count a grant."""
        kind = self._in_time if in_time else self._late
        kind.setdefault(service, _Grants()).note(now_ms)

    def step_ms(self, service: str, starts_per_s: float, now_ms: int) -> float:
        """Time from one grant to the next, of requests that can be in time.

        `starts_per_s` is what the service's engines can start at most.
        """
        return _step_ms(self._in_time.get(service), LEAST_PART * starts_per_s, now_ms)

    def late_step_ms(self, service: str, starts_per_s: float, now_ms: int) -> float:
        """Time from one grant to the next, of requests that will be late."""
        return _step_ms(self._late.get(service), LEAST_LATE_PART * starts_per_s, now_ms)


def _step_ms(grants: _Grants | None, least_per_s: float, now_ms: int) -> float:
    per_s = grants.per_s(now_ms) if grants is not None else 0.0
    return 1000 / max(per_s, least_per_s, 1.0)
