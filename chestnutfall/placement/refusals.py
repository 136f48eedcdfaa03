"""Refusals of requests that can't be served in their time, and when to come back."""

from __future__ import annotations

from ..clock import Clock
from ..quota.return_times import MOST_WAIT_MS, ReturnTimes
from ..signals import BACKING_OFF
from ..signals.return_spread import ReturnSpread
from .decisions import Reject
from .place_request import PlaceRequest
from .service_round import ServiceRound
from .waiting import Waiting

LEAST_RETRY_MS = 250
"""About one load: sooner nothing has changed for who comes back."""
MOST_RETRY_MS = 4_000
"""Usual deadlines are as long; a later return is a new request."""


class Refusals:
    """Refuses requests at once that have no hope.

    Holding one until its time is over would serve it no better, and cost its caller the time to
    come back.
    """

    def __init__(self, clock: Clock) -> None:
        self._return_times = ReturnTimes()
        self._spread = ReturnSpread(clock)

    def late(self, req: PlaceRequest, now: ServiceRound, now_ms: int) -> Reject:
        """Refuse a request whose time is over."""
        back_ms = now.choice.back_ms(req)
        if back_ms:
            return self._backing_off(req, back_ms)
        if now.limit_step_ms is None:
            return _reject(req, "no_time_left")
        return self._limited(req, now.limit_step_ms, now, now_ms)

    def if_hopeless(self, waiting: Waiting, now: ServiceRound, now_ms: int) -> Reject | None:
        """Refuse a request that found no place, if none will be there in time; None to keep it."""
        req = waiting.req
        back_ms = now.choice.back_ms(req)
        if back_ms and not now.choice.can_be_in_time(req, waiting.objective_ms(now_ms) - back_ms):
            return self._backing_off(req, back_ms)
        queue_ms = now.queue_ms(waiting)
        if queue_ms <= waiting.since_ms + req.wait_ms - now_ms:
            now.kept += 1
            return None
        if now.limit_step_ms is None:
            return _reject(req, "queue_too_long", int(queue_ms))
        return self._limited(req, now.limit_step_ms, now, now_ms)

    def _limited(self, req: PlaceRequest, step_ms: float, now: ServiceRound, now_ms: int) -> Reject:
        """Refuse a request that all engines together don't take: not one of them is free sooner."""
        free_ms = now.choice.next_send_ms() + now.kept * step_ms
        retry_ms = self._return_times.wait_ms(req.service, free_ms, step_ms, now_ms)
        return _reject(req, "limited", retry_ms, MOST_WAIT_MS)

    def _backing_off(self, req: PlaceRequest, back_ms: float) -> Reject:
        """Refuse a request that no engine wants from its gateway."""
        return Reject(req.ticket, BACKING_OFF, self._spread.wait_ms(req.service, back_ms))


def _reject(
    req: PlaceRequest, reason: str, wait_ms: int = LEAST_RETRY_MS, most_ms: int = MOST_RETRY_MS
) -> Reject:
    retry_ms = min(max(wait_ms, LEAST_RETRY_MS), most_ms)
    return Reject(req.ticket, reason, retry_ms)
