"""Backoffs of all upstreams towards all gateways, kept by the leader."""

from __future__ import annotations

import logging
import math
from collections.abc import Collection, Iterator

from ..clock import Clock
from .messages import HeardBackoff
from .upstream_backoff import UpstreamBackoff

log = logging.getLogger(__name__)
MAX_ABSENT_UPSTREAMS = 1_024
"""Upstreams kept that are not serving at present; they may soon serve again."""


class BackoffRegistry:
    """One `UpstreamBackoff` for each upstream that was looked up."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._backoffs: dict[str, UpstreamBackoff] = {}

    def ensure(self, instance: str) -> UpstreamBackoff:
        """Return the backoffs of an upstream, created if there are none yet."""
        if instance not in self._backoffs:
            self._backoffs[instance] = UpstreamBackoff()
        return self._backoffs[instance]

    def update(self, gateway: str, report: HeardBackoff) -> bool:
        """Apply a gateway's report; return whether the other gateways need a hint of it."""
        now_ms = self._clock.now_ms()
        until_ms = math.inf if report.left_ms is None else now_ms + report.left_ms
        backoff = self.ensure(report.instance)
        was_known = backoff.probably_rejects(now_ms)
        needs_hint = backoff.update(gateway, until_ms, now_ms)
        if needs_hint and not was_known:
            log.info(
                "backoff: instance=%s gateway=%s left=%s", report.instance, gateway, report.left_ms
            )
        return needs_hint

    def may_send(self, gateway: str, instance: str) -> bool:
        """Return whether a gateway may send a request to an upstream now."""
        backoff = self._backoffs.get(instance)
        return backoff is None or not backoff.wait_ms(gateway, self._clock.now_ms())

    def active_hints(self) -> Iterator[HeardBackoff]:
        """Yield the upstreams that probably reject requests now, with the time that is left."""
        now_ms = self._clock.now_ms()
        for instance, backoff in self._backoffs.items():
            if backoff.probably_rejects(now_ms):
                left_ms = backoff.probably_rejects_until_ms - now_ms
                yield HeardBackoff(instance, None if math.isinf(left_ms) else math.ceil(left_ms))

    def forget_gateway(self, gateway: str) -> None:
        """Drop the backoffs towards a gateway whose session ended."""
        for backoff in self._backoffs.values():
            backoff.forget_gateway(gateway)

    def forget_absent(self, present: Collection[str]) -> None:
        """Drop upstreams that are not in `present`, except the newest that probably reject."""
        now_ms = self._clock.now_ms()
        absent = [instance for instance in self._backoffs if instance not in present]
        rejecting = [one for one in absent if self._backoffs[one].probably_rejects(now_ms)]
        kept = set(rejecting[-MAX_ABSENT_UPSTREAMS:])
        for instance in absent:
            if instance not in kept:
                del self._backoffs[instance]
