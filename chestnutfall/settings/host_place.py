"""Where a host stands."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostPlace:
    """Where a host stands, as far as it matters for what may be lost together.

    Attributes
    ----------
    data_centre, region : str
        Names; empty if unknown.
    counts : bool
        Whether the loss of this host counts; any number of others may be lost at any time.
    """

    data_centre: str = ""
    region: str = ""
    counts: bool = True


UNKNOWN_PLACE = HostPlace()
"""The place of a host that has not named it; its loss counts."""
