"""What a leader knows about each replica's log and liveness."""

from __future__ import annotations

from collections.abc import Collection

from .quorum import Quorum

NEVER_MS = -(10**12)
"""Time that stands for "no call answered yet", earlier than any clock reading."""


class Progress:
    """The match index and the last answered call of each replica, during one leadership.

    Parameters
    ----------
    lost : set of str
        Replicas whose disks are proven to be lost; the replica adds to it.
    """

    def __init__(self, lost: set[str]) -> None:
        self._lost = lost
        self._match: dict[str, int] = {}
        self._answered_ms: dict[str, int] = {}

    def record_answer(self, replica_id: str, sent_ms: int) -> None:
        """Record that a call sent at `sent_ms` was answered in the leader's term."""
        self._answered_ms[replica_id] = max(sent_ms, self.answered_ms(replica_id))

    def record_match(self, replica_id: str, index: int) -> None:
        """Record that `replica_id` has synced every entry up to `index`."""
        self._match[replica_id] = max(index, self.match_index(replica_id))

    def match_index(self, replica_id: str) -> int:
        """Return the last index that the replica is known to have synced; 0 if none."""
        return self._match.get(replica_id, 0)

    def answered_ms(self, replica_id: str) -> int:
        """Return when the newest call that the replica answered was sent; `NEVER_MS` if none."""
        return self._answered_ms.get(replica_id, NEVER_MS)

    def commit_index(self, quorum: Quorum, written_off: Collection[str] = ()) -> int:
        """Return the highest index that is committed under `quorum`.

        Parameters
        ----------
        written_off : collection of str
            Replicas that are not waited for any longer, beside those that are lost.
        """
        return quorum.commit_index(self._match, self._lost, written_off)

    def quorum_answered_ms(self, quorum: Quorum) -> int:
        """Return the latest time such that a quorum answered calls sent since."""
        return quorum.answered_ms(self._answered_ms, self._lost, NEVER_MS)
