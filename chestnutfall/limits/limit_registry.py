"""The limits of all upstreams, kept by the process that schedules requests to them."""

from __future__ import annotations

import logging
from collections.abc import Collection

from ..clock import Clock
from .messages import HeardLimit, RequestLimit
from .upstream_limit import UpstreamLimit

log = logging.getLogger(__name__)
MAX_ABSENT_UPSTREAMS = 1_024
"""Limits kept of upstreams that are not serving at present; they may soon serve again."""


class LimitRegistry:
    """One `UpstreamLimit` for each upstream that was looked up.

    Attributes
    ----------
    changes : int
        Number of changes of any limit so far.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[str, UpstreamLimit] = {}
        self.changes = 0

    def ensure(self, instance: str, counts_sends: bool = True) -> UpstreamLimit:
        """Return the limit of an upstream, created with `counts_sends` if there is none yet."""
        if instance not in self._limits:
            self._limits[instance] = UpstreamLimit(counts_sends)
        return self._limits[instance]

    def update(self, report: HeardLimit, counts_sends: bool) -> bool:
        """Apply a gateway's report of an answer; return whether the limit changed."""
        limit = self.ensure(report.instance, counts_sends)
        before = limit.declared_per_s
        changed = limit.apply_report(report, self._clock.now_ms())
        if changed:
            self.changes += 1
            log.info(
                "limit: instance=%s per_s=%s was=%s asked_ago=%d heard_ago=%d",
                report.instance,
                report.per_s,
                before,
                report.asked_ago_ms,
                report.heard_ago_ms,
            )
        return changed

    def declared_per_s(self, instance: str) -> float | None:
        """Requests per second that an upstream declares; None for no limit."""
        limit = self._limits.get(instance)
        return limit.declared_per_s if limit is not None else None

    def in_force(self) -> tuple[RequestLimit, ...]:
        """All limits that upstreams declare at present."""
        return tuple(
            RequestLimit(instance, limit.declared_per_s)
            for instance, limit in self._limits.items()
            if limit.declared_per_s is not None
        )

    def forget_absent(self, present: Collection[str]) -> None:
        """Drop upstreams that are not in `present`, except the newest that declare a limit."""
        absent = [instance for instance in self._limits if instance not in present]
        limited = [one for one in absent if self._limits[one].declared_per_s is not None]
        kept = set(limited[-MAX_ABSENT_UPSTREAMS:])
        for instance in absent:
            if instance not in kept:
                del self._limits[instance]
