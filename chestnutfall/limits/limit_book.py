"""The limits of all upstreams, where it is decided who is sent to them."""

from __future__ import annotations

import logging
from collections.abc import Collection

from ..clock import Clock
from .messages import HeardLimit, RequestLimit
from .upstream_limit import UpstreamLimit

log = logging.getLogger(__name__)
MOST_ABSENT = 1_024
"""Limits that are kept of upstreams that don't take work now; they may be back in a moment."""


class LimitBook:
    """One `UpstreamLimit` for each upstream that was asked for.

    Attributes
    ----------
    changes : int
        How often any limit changed.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[str, UpstreamLimit] = {}
        self.changes = 0

    def of(self, instance: str, counts_sends: bool = True) -> UpstreamLimit:
        """The limit of an upstream, begun if it is not known yet."""
        if instance not in self._limits:
            self._limits[instance] = UpstreamLimit(counts_sends)
        return self._limits[instance]

    def hear(self, heard: HeardLimit, counts_sends: bool) -> bool:
        """Take in what an answer said; whether a limit changed by it."""
        limit = self.of(heard.instance, counts_sends)
        before = limit.named_per_s
        changed = limit.hear(heard, self._clock.now_ms())
        if changed:
            self.changes += 1
            log.info(
                "limit: instance=%s per_s=%s was=%s asked_ago=%d heard_ago=%d",
                heard.instance,
                heard.per_s,
                before,
                heard.asked_ago_ms,
                heard.heard_ago_ms,
            )
        return changed

    def named_per_s(self, instance: str) -> float | None:
        """The limit that an upstream names; None for none."""
        limit = self._limits.get(instance)
        return limit.named_per_s if limit is not None else None

    def in_force(self) -> tuple[RequestLimit, ...]:
        """All limits that upstreams name now."""
        return tuple(
            RequestLimit(instance, limit.named_per_s)
            for instance, limit in self._limits.items()
            if limit.named_per_s is not None
        )

    def forget_absent(self, present: Collection[str]) -> None:
        """Drop what is known of upstreams that take no work, but for the last limits."""
        absent = [instance for instance in self._limits if instance not in present]
        limited = [one for one in absent if self._limits[one].named_per_s is not None]
        kept = set(limited[-MOST_ABSENT:])
        for instance in absent:
            if instance not in kept:
                del self._limits[instance]
