"""An upstream whose answers broke off, and the requests that it was running."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .crash_messages import MAX_SUSPECTS
from .run_interval import RunInterval

SAME_END_WINDOW_MS = 1_000
"""Breaks within this time count as one process end: a process that ends breaks all its answers at
once, but busy gateways notice it late."""


@dataclass(slots=True)
class BrokenUpstream:
    """What an upstream with broken answers was running, and whether its process ended.

    Attributes
    ----------
    address : str
        Address at which the upstream listened.
    last_ms : int
        Clock time of the last report about it.
    ended_ms : int or None
        Clock time at which the end of its process was detected; None while it may only have dropped
        connections.
    rejecting_until_ms : int or None
        Clock time until which an end of its process is explained by requests that it rejected,
        since it bears few rejections.
    uncommitted : dict of str to RunInterval
        Requests that it was running and that are not in the log yet, by fingerprint.
    committed : set of str
        Fingerprints of the requests that are in the log already.
    parts : dict of str to tuple of str
        Shared parts of the prompts of its broken runs, by fingerprint.
    answered_parts : set of str
        Those of them that a gateway had an answer to shortly before.
    """

    address: str
    last_ms: int
    ended_ms: int | None = None
    rejecting_until_ms: int | None = None
    uncommitted: dict[str, RunInterval] = field(default_factory=dict)
    committed: set[str] = field(default_factory=set)
    parts: dict[str, tuple[str, ...]] = field(default_factory=dict)
    answered_parts: set[str] = field(default_factory=set)

    def add(
        self,
        fingerprint: str,
        run: RunInterval,
        parts: tuple[str, ...] = (),
        answered_parts: Iterable[str] = (),
    ) -> None:
        """Add a broken run, and drop uncommitted ones that broke off long before it.

        At most `MAX_SUSPECTS` uncommitted requests are kept; further ones are ignored.
        """
        self.uncommitted = {
            one: span
            for one, span in self.uncommitted.items()
            if span.broke_ms >= run.broke_ms - SAME_END_WINDOW_MS
        }
        if parts and len(self.parts) < MAX_SUSPECTS:
            self.parts[fingerprint] = parts
            self.answered_parts.update(answered_parts)
        known = self.uncommitted.get(fingerprint)
        if known is not None:
            self.uncommitted[fingerprint] = known.with_run(run)
        elif fingerprint not in self.committed and len(self.uncommitted) < MAX_SUSPECTS:
            self.uncommitted[fingerprint] = run

    def uncommitted_parts(self) -> set[str]:
        """Return the parts of the requests that are not in the log yet."""
        return {part for one in self.uncommitted for part in self.parts.get(one, ())}

    def note_rejecting(self, broke_ms: int) -> None:
        """Note that it had just rejected requests when an answer broke off."""
        until_ms = broke_ms + SAME_END_WINDOW_MS
        self.rejecting_until_ms = max(self.rejecting_until_ms or until_ms, until_ms)

    @property
    def ended_by_rejections(self) -> bool:
        """Whether rejections explain the end in which the uncommitted requests broke off."""
        latest_ms = max((one.broke_ms for one in self.uncommitted.values()), default=None)
        return (
            self.rejecting_until_ms is not None
            and latest_ms is not None
            and latest_ms <= self.rejecting_until_ms
        )

    def mark_committed(self, fingerprints: Iterable[str]) -> None:
        """Note that these requests are in the log now."""
        for fingerprint in fingerprints:
            self.uncommitted.pop(fingerprint, None)
            self.committed.add(fingerprint)
