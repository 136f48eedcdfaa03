"""Which replicas together decide for a group."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from .member import Member
from .tolerance import Tolerance


class Quorum:
    """Decides which copies commit an entry and which votes elect a leader, for one membership.

    A majority decides where the voters are so many, and stand so far apart, that a majority is left
    after each loss that is tolerated. A group that is still small, or that was just repaired, has
    fewer voters than that. A majority of them can be lost with its disks, and then no leader could
    be elected ever again, since only a leader adds voters. Two rules together avoid that:

    - An entry is committed only once its copies can't all be lost at the same time, or once each
      voter that still has its disk holds it.
    - Voters whose disks are proven to be lost never vote again. If they are no more than is
      tolerated, all the others together elect a leader, however few they are.

    An elected leader has every committed entry: one of those who elected it holds the entry, and
    votes only for a log that is as new as its own.

    Parameters
    ----------
    members : iterable of Member
        The membership; learners are ignored.
    """

    def __init__(self, members: Iterable[Member], tolerance: Tolerance) -> None:
        self._voters = {one.replica_id: one for one in members if one.voter}
        self._tolerance = tolerance
        self.is_sufficient = tolerance.is_borne_by(list(self._voters.values()))
        """Whether a majority is left after each loss that is tolerated."""

    def elects(self, granted: Collection[str], lost: Collection[str]) -> bool:
        """Whether the votes of `granted` elect a leader.

        Parameters
        ----------
        lost : collection of str
            Replicas whose disks are proven to be lost.
        """
        held = self._voters.keys() & granted
        return self._is_majority(len(held)) or self._are_all_left(held, lost)

    def commits(
        self, synced: Collection[str], lost: Collection[str], written_off: Collection[str] = ()
    ) -> bool:
        """Whether an entry that the replicas `synced` have on disk is committed.

        Parameters
        ----------
        lost : collection of str
            Replicas whose disks are proven to be lost.
        written_off : collection of str
            Replicas that have been silent for so long that their copies are not waited for; a
            majority is needed all the same.
        """
        held = self._voters.keys() & synced
        if not self._is_majority(len(held)) and not self._are_all_left(held, lost):
            return False
        if self.is_sufficient:
            return True
        gone = held | (self._voters.keys() & {*lost, *written_off})
        if len(gone) == len(self._voters):
            return True
        return not self._tolerance.may_lose(self._voters[one] for one in gone)

    def commit_index(
        self,
        match: Mapping[str, int],
        lost: Collection[str],
        written_off: Collection[str] = (),
    ) -> int:
        """Return the highest index that is committed by what the replicas have synced."""
        if self.is_sufficient:
            return self._majority_value(match, 0)
        indexes = {match.get(one, 0) for one in self._voters}
        for index in sorted(indexes, reverse=True):
            synced = [one for one in self._voters if match.get(one, 0) >= index]
            if self.commits(synced, lost, written_off):
                return index
        return 0

    def answered_ms(self, answered: Mapping[str, int], lost: Collection[str], never_ms: int) -> int:
        """Return the latest time such that those who answered calls since then elect a leader.

        None of them elects another leader meanwhile.
        """
        majority_ms = self._majority_value(answered, never_ms)
        left = self._voters.keys() - lost
        if not self._are_all_left(left, lost):
            return majority_ms
        return max(majority_ms, min(answered.get(one, never_ms) for one in left))

    def _majority_value(self, values: Mapping[str, int], default: int) -> int:
        """Return the largest value that a majority of the voters reaches."""
        if not self._voters:
            return default
        reached = sorted((values.get(one, default) for one in self._voters), reverse=True)
        return reached[len(reached) // 2]

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self._voters)

    def _are_all_left(self, held: Collection[str], lost: Collection[str]) -> bool:
        gone = self._voters.keys() & lost
        left = self._voters.keys() - gone
        if not gone or not left or not left <= set(held):
            return False
        return self._tolerance.may_lose(self._voters[one] for one in gone)
