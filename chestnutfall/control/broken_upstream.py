"""An upstream of which answers broke off."""

from __future__ import annotations

from dataclasses import dataclass, field

MOST_FINGERPRINTS = 256
"""More than an upstream runs at once, its queue included."""


@dataclass(slots=True)
class BrokenUpstream:
    """What it was running, and whether it ended.

    Attributes
    ----------
    since_ms : int
        When the first answer broke off.
    ended_ms : int or None
        When it was known that its process ended; None while it may only have dropped connections.
    untold, told : dict of str to None
        Fingerprints of broken runs that are not, and are, in the log.
    """

    address: str
    since_ms: int
    ended_ms: int | None = None
    untold: dict[str, None] = field(default_factory=dict)
    told: dict[str, None] = field(default_factory=dict)

    def add(self, fingerprint: str) -> None:
        """Take a broken run."""
        if fingerprint not in self.told and len(self.untold) < MOST_FINGERPRINTS:
            self.untold[fingerprint] = None

    def note_told(self, fingerprints: tuple[str, ...]) -> None:
        """Take that these are in the log."""
        for fingerprint in fingerprints:
            self.untold.pop(fingerprint, None)
            self.told[fingerprint] = None
