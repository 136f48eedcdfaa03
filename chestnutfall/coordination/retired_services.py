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

    Requests that came under a former document wait for a place there, and gateways send more
    until they have the new document. That holds although the document before already led no route
    to the service: for each service to which a document led, the moment is kept until which such
    requests may be on their way. A service may also come back with the next document; what is
    known of its engines is then still there.

    A new leader knows the document in force only, and so no retired service.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms: dict[str, int] = {}
        self._retired: dict[str, ServiceSpec] = {}

    def __len__(self) -> int:
        return len(self._retired)

    def note_change(self, former: RouteTable, new: RouteTable) -> None:
        """Process a change of the document."""
        now_ms = self._clock.now_ms()
        self._forget_ended(now_ms, new)
        for name, wait_ms in _longest_waits_ms(former).items():
            until_ms = now_ms + min(wait_ms, LONGEST_MS)
            self._until_ms[name] = max(self._until_ms.get(name, 0), until_ms)
        for name, spec in former.services.items():
            if name not in new.services and name in self._until_ms:
                kept_ms = self._until_ms[name] - now_ms
                log.info("service: retired name=%s kept_ms=%d", name, kept_ms)
                self._retired[name] = spec

    def _forget_ended(self, now_ms: int, new: RouteTable) -> None:
        self._until_ms = {one: ms for one, ms in self._until_ms.items() if ms > now_ms}
        self._retired = {
            name: spec
            for name, spec in self._retired.items()
            if name in self._until_ms and name not in new.services
        }

    def get(self, service: str) -> ServiceSpec | None:
        """Return a retired service that still serves; None for any other."""
        until_ms = self._until_ms.get(service, 0)
        return self._retired.get(service) if until_ms > self._clock.now_ms() else None


def _longest_waits_ms(table: RouteTable) -> dict[str, int]:
    """Return for each service with a route how long requests may still come to it, or wait."""
    waits: dict[str, int] = {}
    for route in table.document.routes:
        for one in route.targets:
            if one.weight > 0:
                wait_ms = IN_FORCE_MS + route.timeout_ms
                waits[one.service] = max(waits.get(one.service, 0), wait_ms)
    return waits
