"""The end of an upstream process, and the requests that were running at the time."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

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
    cleared : tuple of str
        Fingerprints of requests that were running and have been answered in full since.
    """

    suspects: tuple[str, ...] = ()
    overlapping: tuple[str, ...] = ()
    explained: bool = False
    cleared: tuple[str, ...] = ()

    def ran(self, fingerprint: str) -> bool:
        """Whether the upstream was running the request."""
        return fingerprint in self.suspects or fingerprint in self.overlapping

    def with_requests(self, suspects: Iterable[str], overlapping: Iterable[str]) -> UpstreamEnd:
        """Return the end with the requests that are new, up to `MAX_SUSPECTS` of each kind.

        Gateways send the reports of the last seconds again to a new leader, which can't tell
        overlapping ends of before and does not know which requests have been cleared.
        """
        known = {*self.suspects, *self.overlapping, *self.cleared}
        return replace(
            self,
            suspects=_joined(self.suspects, suspects, known),
            overlapping=_joined(self.overlapping, overlapping, known),
        )

    def without(self, fingerprint: str) -> UpstreamEnd:
        """Return the end without a request that did not cause it."""
        return replace(
            self,
            suspects=tuple(one for one in self.suspects if one != fingerprint),
            overlapping=tuple(one for one in self.overlapping if one != fingerprint),
            cleared=_joined(self.cleared, (fingerprint,)),
        )


EXPLAINED = UpstreamEnd(explained=True)
"""Replaces an end whose cause is known, so that no other request is blamed for it."""


def _joined(
    names: tuple[str, ...], more: Iterable[str], without: Collection[str] = ()
) -> tuple[str, ...]:
    new = (one for one in more if one not in without)
    return tuple(dict.fromkeys((*names, *new)))[:MAX_SUSPECTS]
