"""What the engines of a service found out together about the weight store."""

from __future__ import annotations

from dataclasses import dataclass, field

from .copy_trust import CopyTrust
from .load_floor import LoadFloor

USUAL_MS = 5_000
"""Loads take about as long as they did for the last seconds; each new try costs some requests that
come too early."""
BUSY_MS = 1_000
"""A store from which many load at once is at ease again a second later. Remembered for longer, all
who wait for a load in the seconds after an outage wait half as long again as it takes."""


@dataclass(frozen=True, slots=True)
class StoreTimes:
    """Least times of loads, as they usually are and while the store is busy; and copies."""

    usual: LoadFloor = field(default_factory=lambda: LoadFloor(USUAL_MS))
    busy: LoadFloor = field(default_factory=lambda: LoadFloor(BUSY_MS))
    copies: CopyTrust = field(default_factory=CopyTrust)
