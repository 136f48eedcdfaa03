"""Upstreams of services that the document in force doesn't name."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from .relay_messages import Announce

MAX_KEPT = 1_024
"""About 1 MB; the upstreams announced last are kept."""
MAX_NAMES = 32_768
"""Models and adapters that those which are kept hold in all, about 8 MB. One announcement may name
thousands."""


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
        self._names = 0

    def __len__(self) -> int:
        return len(self._kept)

    def note(self, msg: Announce) -> None:
        """Keep an announcement."""
        self._drop(msg.record.instance)
        self._kept[msg.record.instance] = (msg, self._clock.now_ms() + self._heartbeat_ms)
        self._names += _names_in(msg)
        while len(self._kept) > MAX_KEPT or self._names > MAX_NAMES:
            self._drop(next(iter(self._kept)))

    def take(self, is_configured: Callable[[str], bool]) -> list[Announce]:
        """Return and forget the announcements of services that are configured now."""
        now_ms = self._clock.now_ms()
        for instance in [name for name, (_, due_ms) in self._kept.items() if due_ms <= now_ms]:
            self._drop(instance)
        taken = [msg for msg, _ in self._kept.values() if is_configured(msg.record.service)]
        for msg in taken:
            self._drop(msg.record.instance)
        return taken

    def _drop(self, instance: str) -> None:
        kept = self._kept.pop(instance, None)
        if kept is not None:
            self._names -= _names_in(kept[0])


def _names_in(msg: Announce) -> int:
    """Return how many models and adapters an announcement names."""
    holds = msg.holds
    return 0 if holds is None else len(holds.models) + len(holds.adapters) + len(holds.coming)
