"""Upstreams of services that the document in force doesn't name."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from .relay_messages import Announce

MAX_KEPT = 1_024
"""About 1 MB; the upstreams announced last are kept."""


class UnconfiguredUpstreams:
    """Keeps the last announcement of such upstreams, until the next one is due.

    A document may name their service at any time. Requests follow it at once, and would find no
    upstream until each has announced itself again.

    Parameters
    ----------
    heartbeat_ms : int
        Heartbeat interval of upstreams.
    """

    def __init__(self, clock: Clock, heartbeat_ms: int) -> None:
        self._clock = clock
        self._heartbeat_ms = heartbeat_ms
        self._kept: dict[str, tuple[Announce, int]] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def note(self, msg: Announce) -> None:
        """Keep an announcement."""
        self._kept.pop(msg.record.instance, None)
        self._kept[msg.record.instance] = (msg, self._clock.now_ms() + self._heartbeat_ms)
        if len(self._kept) > MAX_KEPT:
            del self._kept[next(iter(self._kept))]

    def take(self, is_configured: Callable[[str], bool]) -> list[Announce]:
        """Return and forget the announcements of services that are configured now."""
        now_ms = self._clock.now_ms()
        self._kept = {name: one for name, one in self._kept.items() if one[1] > now_ms}
        taken = [msg for msg, _ in self._kept.values() if is_configured(msg.record.service)]
        for msg in taken:
            del self._kept[msg.record.instance]
        return taken
