"""One service's queue and engines during one decision round."""

from __future__ import annotations

from functools import cached_property

from .engine_selector import EngineSelector
from .place_option import PlaceOption
from .placement_rate import PlacementRate
from .waiting_request import WaitingRequest


class ServiceRound:
    """Orders a service's waiting requests, places them and estimates how long the rest waits.

    Attributes
    ----------
    selector : EngineSelector
        The service's engines.
    limit_interval_ms : float or None
        Time from one send to the next that the engines' limits allow together; None unless each
        engine has a limit.
    kept : int
        Number of requests that stay in the queue, among those processed so far.
    """

    def __init__(
        self, service: str, selector: EngineSelector, placement_rate: PlacementRate, now_ms: int
    ) -> None:
        self.selector = selector
        self._now_ms = now_ms
        self._full = False
        self.kept = 0
        self._queue_ms = 0.0
        self._late = 0
        per_s = selector.limit_per_s
        self.limit_interval_ms = 1000 / per_s if per_s else None
        self._service = service
        self._placement_rate = placement_rate

    @cached_property
    def _interval_ms(self) -> float:
        """Time from one placement to the next, for requests that can be in time."""
        per_s = self.selector.starts_per_s
        interval_ms = self._placement_rate.interval_ms(self._service, per_s, self._now_ms)
        # Recent placements may predate the engines' limits, and would give too high a rate.
        return max(interval_ms, self.limit_interval_ms or 0.0)

    @cached_property
    def _late_interval_ms(self) -> float:
        """The same for requests that will be late."""
        per_s = self.selector.starts_per_s
        interval_ms = self._placement_rate.late_interval_ms(self._service, per_s, self._now_ms)
        return max(interval_ms, self.limit_interval_ms or 0.0)

    def can_be_in_time(self, waiting: WaitingRequest) -> bool:
        """Whether the first event of a request could be in time if it were placed now."""
        return self.selector.can_be_in_time(waiting.req, waiting.objective_ms(self._now_ms))

    def sort_key(self, waiting: WaitingRequest) -> tuple[bool, int, float, int]:
        """Return the request's sort key in the queue, and count it if it is late and unassigned.

        To be called once for each waiting request.
        """
        in_time = self.can_be_in_time(waiting)
        # A request that waits for a load has its place already and delays no other.
        self._late += not in_time and not waiting.instance
        return waiting.sort_key(in_time)

    def best(self, waiting: WaitingRequest) -> PlaceOption | None:
        """Return the best place for a request now; None when it has to wait."""
        if self._full:
            return None
        objective_ms = waiting.objective_ms(self._now_ms)
        option = self.selector.best(waiting.req, waiting.prefixes, objective_ms)
        # When no engine has room for one request, the requests behind it need no search.
        self._full = option is None and not self.selector.has_room(waiting.req)
        return option

    def queue_ms(self, waiting: WaitingRequest) -> float:
        """Expected wait of a request that found no place, behind those before it in this round.

        To be called once for each such request, in the order of the queue.
        """
        if not self.can_be_in_time(waiting):
            self._queue_ms += self._late_interval_ms
            return self._queue_ms
        before_ms = self._queue_ms
        self._queue_ms += self._interval_ms
        left_ms = waiting.objective_ms(self._now_ms) - before_ms
        if self.selector.can_be_in_time(waiting.req, left_ms):
            return before_ms
        # Its turn comes too late, so that it will queue behind the requests that are late already.
        # Adding their time now refuses it at once instead of after a tenth of a second.
        return before_ms + (self._late + 1) * self._late_interval_ms
