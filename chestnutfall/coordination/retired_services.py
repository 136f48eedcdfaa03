"""Services that the document in force no longer names, and that still serve."""

from __future__ import annotations

import logging

from ..clock import Clock
from ..routes import RouteTable, ServiceSpec

log = logging.getLogger(__name__)
IN_FORCE_MS = 2_000
"""Time within which a document is in force at each gateway."""
LONGEST_MS = 60_000
"""Longest time for which a service goes on, whatever the timeouts of its routes."""


class RetiredServices:
    """Keeps services that a document drops until the requests that were sent to them have ended.

    Requests that came under the former document wait for a place there, and gateways send more
    until they have the new document. A service may also come back with the next document; what is
    known of its engines is then still there.

    A new leader knows the document in force only, and so no retired service.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._retired: dict[str, tuple[ServiceSpec, int]] = {}

    def __len__(self) -> int:
        return len(self._retired)

    def note_change(self, former: RouteTable, new: RouteTable) -> None:
        """Process a change of the document."""
        now_ms = self._clock.now_ms()
        for name, spec in former.services.items():
            if name in new.services:
                continue
            kept_ms = min(_longest_wait_ms(former, name), LONGEST_MS)
            if kept_ms:
                log.info("service: retired name=%s kept_ms=%d", name, kept_ms)
                self._retired[name] = (spec, now_ms + kept_ms)
        self._retired = {
            name: (spec, until_ms)
            for name, (spec, until_ms) in self._retired.items()
            if until_ms > now_ms and name not in new.services
        }

    def get(self, service: str) -> ServiceSpec | None:
        """Return a retired service that still serves; None for any other."""
        spec, until_ms = self._retired.get(service, (None, 0))
        return spec if until_ms > self._clock.now_ms() else None


def _longest_wait_ms(table: RouteTable, service: str) -> int:
    """Return how long requests may still come to a service, or wait there; 0 without a route."""
    timeouts = [
        route.timeout_ms
        for route in table.document.routes
        if any(one.service == service and one.weight > 0 for one in route.targets)
    ]
    return IN_FORCE_MS + max(timeouts) if timeouts else 0
