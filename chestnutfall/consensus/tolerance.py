"""Which machines may be lost at the same time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from .member import Member


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be lost at the same time, with its disks, while acknowledged entries are kept.

    Either that many hosts, wherever they stand, or all hosts of that many data centres, or all of
    that many regions. Hosts whose loss does not count may be lost in any number besides.

    Attributes
    ----------
    hosts, data_centres, regions : int
        Largest number of each.
    """

    hosts: int
    data_centres: int = 0
    regions: int = 0

    @property
    def uses_places(self) -> bool:
        """Whether it matters where a host stands."""
        return self.data_centres > 0 or self.regions > 0

    def may_lose(self, members: Iterable[Member]) -> bool:
        """Whether all of `members` may be lost at the same time.

        Where a member's place is unknown, it may be in the same data centre as any other.
        """
        counted = [member for member in members if member.counts]
        return (
            len(counted) <= self.hosts
            or _are_within(self.data_centres, [one.data_centre for one in counted])
            or _are_within(self.regions, [one.region for one in counted])
        )

    def worst_loss(self, members: Collection[Member]) -> int:
        """Return how many of `members` may be lost at the same time at most."""
        counted = [member for member in members if member.counts]
        most = max(
            min(self.hosts, len(counted)),
            _most_within(self.data_centres, [one.data_centre for one in counted]),
            _most_within(self.regions, [one.region for one in counted]),
        )
        return most + len(members) - len(counted)

    def is_borne_by(self, voters: Collection[Member]) -> bool:
        """Whether a majority of `voters` is left after each loss."""
        return 2 * (len(voters) - self.worst_loss(voters)) > len(voters)


def _are_within(count: int, places: list[str]) -> bool:
    return count > 0 and len(set(places) - {""}) <= count


def _most_within(count: int, places: list[str]) -> int:
    if count <= 0:
        return 0
    known = Counter(place for place in places if place)
    unknown = places.count("")
    return sum(size for _, size in known.most_common(count)) + unknown


NO_TOLERANCE = Tolerance(0)
"""Only what a majority of the voters bears."""
