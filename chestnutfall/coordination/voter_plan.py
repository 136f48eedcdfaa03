"""Which members of the group of controllers should vote."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence

from ..consensus import Member, Tolerance


class VoterPlan:
    """Chooses voters so that a majority of them is left after each loss that is tolerated.

    The group has as few voters as that takes: 2f + 1 for f hosts, and more only where they can't be
    spread widely enough. They are spread over regions and data centres as far as losses of these
    are tolerated. Present voters stay if they serve as well as others.
    """

    def __init__(self, tolerance: Tolerance) -> None:
        self.tolerance = tolerance
        self.least_voters = 2 * tolerance.hosts + 1

    def choose(
        self, candidates: Sequence[Member], first: str = "", silent: Sequence[Member] = ()
    ) -> tuple[Member, ...]:
        """Return the candidates that should vote.

        If no choice bears every loss that is tolerated, it is the largest that has no more voters
        than the hosts to be lost require: it holds what these candidates can.

        Parameters
        ----------
        candidates : sequence of Member
            Members that may vote, voters among them.
        first : str
            Identity of the one that stays in any case: the leader, which can't remove itself.
        silent : sequence of Member
            Voters that are down; they are chosen only where others are missing.
        """
        eligible = [one for one in candidates if one.counts]
        order = [*self._spread(eligible, first), *(one for one in silent if one.counts)]
        # A leader whose loss does not count is beside the others until another one leads.
        extra = (one for one in candidates if one.replica_id == first and not one.counts)
        return (*order[: self._size(order)], *extra)

    def _size(self, order: Sequence[Member]) -> int:
        """Return how many of the candidates bear every loss, or how many vote if none do."""
        sizes = range(self.least_voters, len(order) + 1, 2)
        bearing = (size for size in sizes if self.tolerance.is_borne_by(order[:size]))
        return next(bearing, self.least_voters)

    def _spread(self, eligible: Collection[Member], first: str) -> list[Member]:
        """Return the candidates in an order of which each beginning is spread widely."""
        left = list(eligible)
        order: list[Member] = []
        regions: Counter[str] = Counter()
        data_centres: Counter[str] = Counter()

        def key(one: Member) -> tuple[bool, int, int, bool, str]:
            in_region = regions[one.region] if self.tolerance.regions else 0
            in_data_centre = data_centres[one.data_centre] if self.tolerance.data_centres else 0
            is_first = one.replica_id == first
            return not is_first, in_region, in_data_centre, not one.voter, one.replica_id

        while left:
            chosen = min(left, key=key)
            left.remove(chosen)
            order.append(chosen)
            regions[chosen.region] += 1
            data_centres[chosen.data_centre] += 1
        return order
