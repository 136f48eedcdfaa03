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

MIN_LATE_SHARE_OF_CLASSES = 0.25
"""The same where classes compete. Late requests of an urgent class are served from what less urgent
classes leave, and one that is refused returns as a new request, which takes the room of another
that can be in time."""


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
    """Placements by service and rank, separately for requests that can be in time and late ones.

    A request counts when it is assigned to an engine, which may be before its adapter is loaded.
    """

    def __init__(self) -> None:
        self._in_time: dict[str, dict[int, _RecentPlacements]] = {}
        self._late: dict[str, dict[int, _RecentPlacements]] = {}

    def note(self, service: str, in_time: bool, now_ms: int, rank: int = 0) -> None:
        """Count a placement."""
        kind = self._in_time if in_time else self._late
        kind.setdefault(service, {}).setdefault(rank, _RecentPlacements()).note(now_ms)

    def interval_ms(self, service: str, starts_per_s: float, now_ms: int, rank: int = 0) -> float:
        """Time from one placement to the next, for requests that can be in time.

        Parameters
        ----------
        starts_per_s : float
            Rate that the service's engines can start at most.
        rank : int
            Urgency of the request that waits. More urgent requests that arrive meanwhile go before
            it, and are expected to take as much as they did lately.
        """
        return _interval_ms(self._in_time.get(service), MIN_SHARE * starts_per_s, now_ms, rank)

    def late_interval_ms(
        self,
        service: str,
        starts_per_s: float,
        now_ms: int,
        rank: int = 0,
        has_classes: bool = False,
    ) -> float:
        """Time from one placement to the next, for requests that will be late."""
        share = MIN_LATE_SHARE_OF_CLASSES if has_classes else MIN_LATE_SHARE
        return _interval_ms(self._late.get(service), share * starts_per_s, now_ms, rank)


def _interval_ms(
    placements: dict[int, _RecentPlacements] | None, least_per_s: float, now_ms: int, rank: int
) -> float:
    by_rank = {other: one.per_s(now_ms) for other, one in (placements or {}).items()}
    per_s = max(sum(by_rank.values()), least_per_s)
    per_s -= sum(rate for other, rate in by_rank.items() if other < rank)
    return 1000 / max(per_s, 1.0)
