"""Refusals of requests that can't be served in time, with a retry time."""

from __future__ import annotations

from ..clock import Clock
from ..quota.retry_schedule import MAX_WAIT_MS, RetrySchedule
from ..resumption.refusals import BEGIN_ANEW_MS, BUILD_GONE
from ..signals import BACKING_OFF
from ..signals.retry_spread import RetrySpread
from .decisions import Reject
from .place_request import PlaceRequest
from .service_round import ServiceRound
from .waiting_request import WaitingRequest

MIN_RETRY_MS = 250
"""About one load; nothing has changed for a request that returns sooner."""
MAX_RETRY_MS = 4_000
"""Usual deadlines are as long; a request that returns later is a new one."""


class Refusals:
    """Refuses requests at once that can't be served in time.

    A request held until its time is over would be served no better, and would cost its caller the
    time to return.
    """

    def __init__(self, clock: Clock) -> None:
        self._retry_schedule = RetrySchedule()
        self._spread = RetrySpread(clock)

    def refuse_without_build(self, req: PlaceRequest) -> Reject:
        """Refuse to go on with a stream whose build has no engine left; it can begin anew."""
        return Reject(req.ticket, BUILD_GONE, BEGIN_ANEW_MS)

    def refuse_expired(self, req: PlaceRequest, service_round: ServiceRound, now_ms: int) -> Reject:
        """Refuse a request whose time is over."""
        backoff_ms = service_round.selector.capacity.unavailable_ms(req)
        if backoff_ms:
            return self._reject_backing_off(req, backoff_ms)
        if service_round.limit_interval_ms is None:
            return _reject(req, "no_time_left")
        return self._reject_limited(req, service_round.limit_interval_ms, service_round, now_ms)

    def refuse_unservable(
        self, waiting: WaitingRequest, service_round: ServiceRound, now_ms: int
    ) -> Reject | None:
        """Refuse a request that will find no place in time; None keeps it waiting."""
        req = waiting.req
        if not service_round.selector.can_ever_hold(req.adapter):
            return Reject(req.ticket, "adapter_too_large", MAX_RETRY_MS)
        backoff_ms = service_round.selector.capacity.unavailable_ms(req)
        if backoff_ms and not service_round.selector.can_be_in_time(
            req, waiting.objective_ms(now_ms) - backoff_ms
        ):
            return self._reject_backing_off(req, backoff_ms)
        queue_ms = service_round.queue_ms(waiting)
        if queue_ms <= waiting.since_ms + req.wait_ms - now_ms:
            service_round.kept += 1
            return None
        if service_round.limit_interval_ms is None:
            return _reject(req, "queue_too_long", int(queue_ms))
        return self._reject_limited(req, service_round.limit_interval_ms, service_round, now_ms)

    def _reject_limited(
        self, req: PlaceRequest, interval_ms: float, service_round: ServiceRound, now_ms: int
    ) -> Reject:
        """Refuse a request beyond the sum of all limits; no engine is free sooner."""
        free_ms = service_round.selector.capacity.next_send_ms() + service_round.kept * interval_ms
        retry_ms = self._retry_schedule.wait_ms(req.service, free_ms, interval_ms, now_ms)
        return _reject(req, "limited", retry_ms, MAX_WAIT_MS)

    def _reject_backing_off(self, req: PlaceRequest, backoff_ms: float) -> Reject:
        """Refuse a request of a gateway that every engine asked to back off."""
        return Reject(req.ticket, BACKING_OFF, self._spread.wait_ms(req.service, backoff_ms))


def _reject(
    req: PlaceRequest, reason: str, wait_ms: int = MIN_RETRY_MS, max_ms: int = MAX_RETRY_MS
) -> Reject:
    retry_ms = min(max(wait_ms, MIN_RETRY_MS), max_ms)
    return Reject(req.ticket, reason, retry_ms)
