"""Observations of the weight store that a service's engines share."""

from __future__ import annotations

from dataclasses import dataclass, field

from .copy_speed import CopySpeed
from .load_floor import LoadFloor

USUAL_RETENTION_MS = 5_000
"""Usual load times hold for some seconds; each attempt at a shorter time costs some requests that
are sent too early."""
BUSY_RETENTION_MS = 1_000
"""A store from which many engines load at once recovers within a second. A longer memory would make
requests in the seconds after an outage wait half as long again as a load takes."""


@dataclass(frozen=True, slots=True)
class StoreTimes:
    """Lower bounds of load times, and the speed of loads from copies.

    Attributes
    ----------
    usual : LoadFloor
        Bounds of loads while the store is not busy.
    busy : LoadFloor
        Bounds of loads while many engines load at once.
    copies : CopySpeed
        Whether loads from engines' own copies are fast.
    """

    usual: LoadFloor = field(default_factory=lambda: LoadFloor(USUAL_RETENTION_MS))
    busy: LoadFloor = field(default_factory=lambda: LoadFloor(BUSY_RETENTION_MS))
    copies: CopySpeed = field(default_factory=CopySpeed)
