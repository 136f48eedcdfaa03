"""Recent rate at which each service's requests are placed on engines."""

from __future__ import annotations

from ..clock import SlidingWindow

WINDOW_MS = 2_000
"""Long enough for a steady rate, short compared with the time of a request."""
MIN_SPAN_MS = 250
"""About one load; placements over a shorter time give no useful rate."""
MIN_SHARE = 0.33
"""Smallest rate that is assumed, as a share of what the engines can start. A queue that did not
move lately, as after a change of leader or without requests, still has a chance."""
MIN_LATE_SHARE = 0.07
"""The same for requests that will be late: about one a second of an ordinary engine. They get what
requests in time leave over, and if that was nothing for two seconds, it is unlikely to become
more."""


class _RecentPlacements:
    """Placements within the window, and when the window was last empty before them."""

    def __init__(self) -> None:
        self._window = SlidingWindow(WINDOW_MS)
        self._since_ms = 0

    def note(self, now_ms: int) -> None:
        if not self._window.count(now_ms):
            self._since_ms = now_ms
        self._window.note(now_ms)

    def per_s(self, now_ms: int) -> float:
        # Over the whole window, the rate of a leader that began half a second ago would seem four
        # times too low, and after an outage callers would be refused that could be served.
        span_ms = min(max(now_ms - self._since_ms, MIN_SPAN_MS), WINDOW_MS)
        return self._window.count(now_ms) * 1000 / span_ms


class PlacementRate:
    """Placements by service, separately for requests that can be in time and for late ones.

    A request counts when it is assigned to an engine, which may be before its adapter is loaded.
    """

    def __init__(self) -> None:
        self._in_time: dict[str, _RecentPlacements] = {}
        self._late: dict[str, _RecentPlacements] = {}

    def note(self, service: str, in_time: bool, now_ms: int) -> None:
        """Count a placement."""
        kind = self._in_time if in_time else self._late
        kind.setdefault(service, _RecentPlacements()).note(now_ms)

    def interval_ms(self, service: str, starts_per_s: float, now_ms: int) -> float:
        """Time from one placement to the next, for requests that can be in time.

        `starts_per_s` is the rate that the service's engines can start at most.
        """
        return _interval_ms(self._in_time.get(service), MIN_SHARE * starts_per_s, now_ms)

    def late_interval_ms(self, service: str, starts_per_s: float, now_ms: int) -> float:
        """Time from one placement to the next, for requests that will be late."""
        return _interval_ms(self._late.get(service), MIN_LATE_SHARE * starts_per_s, now_ms)


def _interval_ms(placements: _RecentPlacements | None, least_per_s: float, now_ms: int) -> float:
    per_s = placements.per_s(now_ms) if placements is not None else 0.0
    return 1000 / max(per_s, least_per_s, 1.0)
