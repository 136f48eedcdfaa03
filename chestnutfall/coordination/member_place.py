"""Where the members of the group of controllers stand."""

from __future__ import annotations

from dataclasses import replace

from ..consensus import Member, Tolerance
from ..settings.host_place import HostPlace


def place_of(member: Member) -> HostPlace:
    """Return where the host of a member stands, as far as the group knows."""
    return HostPlace(member.data_centre, member.region, member.counts)


def is_known_at(member: Member, place: HostPlace, tolerance: Tolerance) -> bool:
    """Whether the group knows of a member's place what matters for the losses to be tolerated."""
    if member.counts != place.counts:
        return False
    return not tolerance.uses_places or place_of(member) == place


def moved(member: Member, place: HostPlace) -> Member:
    """Return the member with `place` as the place of its host."""
    return replace(member, data_centre=place.data_centre, region=place.region, counts=place.counts)
