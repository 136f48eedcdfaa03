"""Requests of one gateway that run on engines, and what it may reuse of them without a leader."""

from __future__ import annotations

from collections import Counter

from ..clock import Clock
from ..coordination.messages import RunningSend, RunningSends
from ..placement import PlaceRequest
from ..signals.known_rejections import KnownRejections

REUSE_MS = 2_000
"""How long a gateway that lost its leader reuses the places that it had. A new leader leaves them
to it for as long."""


class RunningEngineSends:
    """Tracks the requests by engine.

    Without a leader nobody counts what all gateways together send to an engine. At engines that
    bear few rejections, a gateway then sends a request only in place of one of its own that has
    ended, so that together they never run more there than the last leader allowed.
    """

    def __init__(self, rejections: KnownRejections, clock: Clock) -> None:
        self._rejections = rejections
        self._clock = clock
        self._running: dict[str, RunningSend] = {}
        self._counts: Counter[str] = Counter()
        self._left: Counter[str] | None = None
        self._lost_ms = 0

    def began(self, req: PlaceRequest, instance: str) -> None:
        """Record that a request is sent to an engine."""
        self._running[req.ticket] = RunningSend(req, instance)
        self._counts[instance] += 1

    def ended(self, ticket: str) -> PlaceRequest | None:
        """Record the end of a request, and return it; None if it did not run."""
        send = self._running.pop(ticket, None)
        if send is None:
            return None
        self._counts[send.instance] -= 1
        if not self._counts[send.instance]:
            del self._counts[send.instance]
        return send.req

    def leader_found(self) -> None:
        """Forget what was reused; the leader counts again."""
        self._left = None

    def may_send_without_leader(self, instance: str) -> bool:
        """Whether a request may be sent to an engine although no leader counts it."""
        if self._rejections.per_s(instance) is None:
            return True
        if self._left is None:
            self._left, self._lost_ms = Counter(self._counts), self._clock.now_ms()
        if self._clock.now_ms() - self._lost_ms > REUSE_MS:
            return False
        return self._counts[instance] < self._left[instance]

    def reports_for_new_leader(self) -> tuple[RunningSends, ...]:
        """All requests at engines that bear few rejections; empty if no upstream does."""
        if not len(self._rejections):
            return ()
        sends = tuple(
            one
            for one in self._running.values()
            if self._rejections.per_s(one.instance) is not None
        )
        return (RunningSends(sends),)
