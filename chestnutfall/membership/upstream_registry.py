"""Upstreams that announce themselves to this gateway."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from ..clock import Clock
from .announcement import Announcement
from .upstream import Upstream

FORGET_AFTER_MS = 60_000
MAX_UPSTREAMS = 4096


class UpstreamRegistry:
    """Upstreams by name; silent ones drop out of `serving` when their TTL is over.

    Attributes
    ----------
    on_replaced : callable
        Told the address and the new instance when an upstream is another process than before.
    """

    def __init__(self, clock: Clock) -> None:
        self.is_drained: Callable[[str], bool] = lambda name: False
        self.on_replaced: Callable[[str, str], None] = lambda address, instance: None
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}

    def hear(self, announcement: Announcement) -> str | None:
        """Take an announcement; return why it was refused, or None."""
        now_ms = self._clock.now_ms()
        known = self._upstreams.get(announcement.name)
        if known is not None and known.takes_work(now_ms):
            other = known.announcement
            # Two processes under one name would share tickets and pins. The first keeps the name
            # until it leaves or falls silent, so a stranger with the service's key can't take it.
            if other.service != announcement.service or (
                other.address != announcement.address
                and other.incarnation != announcement.incarnation
            ):
                return f"{announcement.name} is in use by {other.address}"
        if known is None and len(self._upstreams) >= MAX_UPSTREAMS:
            self._forget(now_ms)
            if len(self._upstreams) >= MAX_UPSTREAMS:
                return f"more than {MAX_UPSTREAMS} upstreams"
        upstream = Upstream(_sticky(known, announcement), now_ms)
        self._upstreams[announcement.name] = upstream
        if known is not None and known.instance != upstream.instance:
            self.on_replaced(known.address, upstream.instance)
        return None

    def _forget(self, now_ms: int) -> None:
        for name, upstream in list(self._upstreams.items()):
            if now_ms > upstream.heard_ms + FORGET_AFTER_MS:
                del self._upstreams[name]

    def get(self, name: str) -> Upstream | None:
        """The upstream by this name, serving or not."""
        return self._upstreams.get(name)

    def serving(self, service: str | None = None) -> Iterator[Upstream]:
        """Yield upstreams that take new work, of one service or all."""
        for upstream in self._upstreams.values():
            wanted = service is None or upstream.announcement.service == service
            if wanted and self.takes_work(upstream.name):
                yield upstream

    def takes_work(self, name: str) -> bool:
        """Whether new work may be sent to the upstream by this name."""
        upstream = self._upstreams.get(name)
        if upstream is None or self.is_drained(name):
            return False
        return upstream.takes_work(self._clock.now_ms())


def _sticky(known: Upstream | None, announcement: Announcement) -> Announcement:
    """The announcement, which can't take back that its process leaves.

    An announcement made before that may come late, and the process would get new work until the
    next one.
    """
    if known is None or known.announcement.state != "leaving":
        return announcement
    if known.announcement.incarnation != announcement.incarnation:
        return announcement
    return replace(announcement, state="leaving")
