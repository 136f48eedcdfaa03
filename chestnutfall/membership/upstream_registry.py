"""Registry of the upstreams that announce themselves to this gateway."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from ..clock import Clock
from .announcement import Announcement
from .upstream import Upstream

FORGET_AFTER_MS = 60_000
"""Upstreams silent for longer than this are removed when the registry is full."""
MAX_UPSTREAMS = 4096


class UpstreamRegistry:
    """Holds the newest announcement of each upstream by name.

    An upstream whose announcement has expired stays registered but is no longer in `serving`.

    Attributes
    ----------
    is_drained : callable
        Returns whether the configuration drains the upstream with a given name.
    on_replaced : callable
        Called with the previous address and the new instance when another process announces
        itself under a registered name.
    """

    def __init__(self, clock: Clock) -> None:
        self.is_drained: Callable[[str], bool] = lambda name: False
        self.on_replaced: Callable[[str, str], None] = lambda address, instance: None
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}

    def register(self, announcement: Announcement) -> str | None:
        """Register an announcement; return the reason if it is refused, else None."""
        now_ms = self._clock.now_ms()
        known = self._upstreams.get(announcement.name)
        if known is not None and known.takes_work(now_ms):
            other = known.announcement
            # Two processes under one name would share tickets and pins. The first one keeps the
            # name until it leaves or its announcement expires, so that another process with the
            # service's key can't take the name over.
            if other.service != announcement.service or (
                other.address != announcement.address
                and other.incarnation != announcement.incarnation
            ):
                return f"{announcement.name} is in use by {other.address}"
        if known is None and len(self._upstreams) >= MAX_UPSTREAMS:
            self._remove_expired(now_ms)
            if len(self._upstreams) >= MAX_UPSTREAMS:
                return f"more than {MAX_UPSTREAMS} upstreams"
        upstream = Upstream(_keep_leaving_state(known, announcement), now_ms)
        self._upstreams[announcement.name] = upstream
        if known is not None and known.instance != upstream.instance:
            self.on_replaced(known.address, upstream.instance)
        return None

    def _remove_expired(self, now_ms: int) -> None:
        for name, upstream in list(self._upstreams.items()):
            if now_ms > upstream.received_ms + FORGET_AFTER_MS:
                del self._upstreams[name]

    def get(self, name: str) -> Upstream | None:
        """Return the upstream with this name, serving or not; None if unknown."""
        return self._upstreams.get(name)

    def serving(self, service: str | None = None) -> Iterator[Upstream]:
        """Yield the upstreams that accept new work, of one service or of all."""
        for upstream in self._upstreams.values():
            wanted = service is None or upstream.announcement.service == service
            if wanted and self.takes_work(upstream.name):
                yield upstream

    def takes_work(self, name: str) -> bool:
        """Whether the upstream with this name accepts new work and is not drained."""
        upstream = self._upstreams.get(name)
        if upstream is None or self.is_drained(name):
            return False
        return upstream.takes_work(self._clock.now_ms())


def _keep_leaving_state(known: Upstream | None, announcement: Announcement) -> Announcement:
    """Return `announcement`, with the state "leaving" if its process was leaving before.

    A "serving" announcement sent before the process began to leave may arrive late. Without this
    rule the process would get new work until its next announcement.
    """
    if known is None or known.announcement.state != "leaving":
        return announcement
    if known.announcement.incarnation != announcement.incarnation:
        return announcement
    return replace(announcement, state="leaving")
