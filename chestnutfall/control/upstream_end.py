"""The end of an upstream process, and the requests that were running at the time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .crash_messages import MAX_SUSPECTS


@dataclass(frozen=True, slots=True)
class UpstreamEnd:
    """The end of one upstream process, by a crash or an exit, and its possible causes.

    Attributes
    ----------
    suspects : tuple of str
        Fingerprints of the requests for which this end counts as a separate one.
    overlapping : tuple of str
        Fingerprints of requests that also ran on another upstream when that one ended. Each of them
        may be the cause, but this end is no further evidence against it.
    explained : bool
        Whether a quarantined request is the known cause.
    """

    suspects: tuple[str, ...] = ()
    overlapping: tuple[str, ...] = ()
    explained: bool = False

    def ran(self, fingerprint: str) -> bool:
        """Whether the upstream was running the request."""
        return fingerprint in self.suspects or fingerprint in self.overlapping

    def with_requests(self, suspects: Iterable[str], overlapping: Iterable[str]) -> UpstreamEnd:
        """Return the end with more requests, up to `MAX_SUSPECTS` of each kind."""
        return UpstreamEnd(
            _joined(self.suspects, suspects), _joined(self.overlapping, overlapping), self.explained
        )

    def without(self, fingerprint: str) -> UpstreamEnd:
        """Return the end without a request that did not cause it."""
        return UpstreamEnd(
            tuple(one for one in self.suspects if one != fingerprint),
            tuple(one for one in self.overlapping if one != fingerprint),
            self.explained,
        )


EXPLAINED = UpstreamEnd(explained=True)
"""Replaces an end whose cause is known, so that no other request is blamed for it."""


def _joined(known: tuple[str, ...], more: Iterable[str]) -> tuple[str, ...]:
    return tuple(dict.fromkeys((*known, *more)))[:MAX_SUSPECTS]
