"""Which upstreams one gateway reaches over its own links."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock

log = logging.getLogger(__name__)
PROBE_INTERVAL_MS = 250
"""Time between two tries to connect to an upstream that is cut off: a cut ends unnoticed for no
longer, and at most four connections a second are opened."""
RECENT_MS = 5_000
"""Results count for so long in whether the gateway as a whole is cut off."""
MAX_PATHS = 4_096
"""Upstreams that one gateway keeps; those used most recently stay."""


@dataclass(slots=True)
class _Path:
    """What is known of the link to one upstream.

    Attributes
    ----------
    is_cut : bool
        Whether the last try to connect failed.
    tried_ms : int
        Clock time of the last result.
    probe_ms : int
        Clock time from which the link may be tried again.
    down_until_ms : int
        Clock time until which the upstream counts as down, as another gateway confirmed.
    """

    is_cut: bool
    tried_ms: int
    probe_ms: int = 0
    down_until_ms: int = -1


class PathTable:
    """Results of this gateway's own connections, by instance of the upstream.

    A failed connection says that this gateway does not reach the upstream, not that it is down.

    Attributes
    ----------
    on_change : callable
        Called with whether this gateway can send calls for others, when that changes.
    on_link : callable
        Called with an instance, and whether the link to it is cut, when that changes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._paths: dict[str, _Path] = {}
        self.on_change: Callable[[bool], None] = lambda can_help: None
        self.on_link: Callable[[str, bool], None] = lambda instance, is_cut: None
        self._can_help = True

    def __len__(self) -> int:
        """Number of upstreams that this gateway does not reach."""
        return sum(path.is_cut for path in self._paths.values())

    @property
    def can_help(self) -> bool:
        """Whether this gateway reaches most of the upstreams that it tried lately."""
        return self._can_help

    def is_cut(self, instance: str) -> bool:
        """Whether the last try to connect to an upstream failed."""
        path = self._paths.get(instance)
        return path is not None and path.is_cut

    def cut_instances(self) -> list[str]:
        """Return the upstreams that this gateway does not reach."""
        return [instance for instance, path in self._paths.items() if path.is_cut]

    def longest_untried(self) -> str | None:
        """Return the upstream whose cut link was not tried for longest; None if none is cut."""
        cut = ((path.tried_ms, one) for one, path in self._paths.items() if path.is_cut)
        return min(cut, default=(0, None))[1]

    def note_tried(self, instance: str) -> None:
        """Record that a cut link is being tried."""
        path, now_ms = self._paths[instance], self._clock.now_ms()
        path.tried_ms, path.probe_ms = now_ms, now_ms + PROBE_INTERVAL_MS

    def forget(self, instance: str) -> None:
        """Drop an upstream that does not serve any more."""
        self._paths.pop(instance, None)

    def note_reached(self, instance: str) -> None:
        """Record that a connection to an upstream opened, or that it answered."""
        was_cut = self.is_cut(instance)
        self._note(instance, _Path(False, self._clock.now_ms()))
        if was_cut:
            log.info("path: restored instance=%s", instance)
            self.on_link(instance, False)

    def note_failed(self, instance: str) -> None:
        """Record that a connection to an upstream could not be opened."""
        was_cut = self.is_cut(instance)
        now_ms = self._clock.now_ms()
        self._note(instance, _Path(True, now_ms, now_ms + PROBE_INTERVAL_MS))
        if not was_cut:
            log.info("path: cut instance=%s", instance)
            self.on_link(instance, True)

    def note_down(self, instance: str) -> None:
        """Record that another gateway, which reaches other upstreams, does not reach this one.

        The fault is the upstream's then, and says nothing about this gateway's links.
        """
        path = self._paths.get(instance)
        if path is not None and path.is_cut:
            path.down_until_ms = self._clock.now_ms() + PROBE_INTERVAL_MS
            self._update()

    def is_down(self, instance: str) -> bool:
        """Whether an upstream was confirmed to be down just now."""
        path = self._paths.get(instance)
        return path is not None and self._clock.now_ms() < path.down_until_ms

    def take_probe(self, instance: str) -> bool:
        """Whether to try the link to an upstream that is cut off now; at most one try at a time."""
        path, now_ms = self._paths.get(instance), self._clock.now_ms()
        if path is None or not path.is_cut or now_ms < path.probe_ms:
            return False
        self.note_tried(instance)
        return True

    def _note(self, instance: str, path: _Path) -> None:
        known = self._paths.pop(instance, None)
        self._paths[instance] = path
        if len(self._paths) > MAX_PATHS:
            del self._paths[next(iter(self._paths))]
        if known is None or known.is_cut or path.is_cut or not self._can_help:
            self._update()

    def _update(self) -> None:
        oldest_ms = self._clock.now_ms() - RECENT_MS
        recent = [
            path
            for path in self._paths.values()
            if path.tried_ms > oldest_ms and path.down_until_ms < 0
        ]
        can_help = 2 * sum(path.is_cut for path in recent) <= len(recent)
        if can_help != self._can_help:
            self._can_help = can_help
            log.info("path: can_help=%s cut=%d tried=%d", can_help, len(self), len(recent))
            self.on_change(can_help)
