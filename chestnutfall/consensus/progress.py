"""What a leader knows about each replica's log and liveness."""

from __future__ import annotations

from collections.abc import Sequence

from .member import Member

NEVER_MS = -(10**12)
"""Time that stands for "no call answered yet", earlier than any clock reading."""


class Progress:
    """The match index and the last answered call of each replica, during one leadership."""

    def __init__(self) -> None:
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

    def quorum_match_index(self, members: Sequence[Member]) -> int:
        """Return the highest index that a majority of the voters has synced."""
        return _majority_value(
            [self.match_index(member.replica_id) for member in members if member.voter], 0
        )

    def quorum_answered_ms(self, members: Sequence[Member]) -> int:
        """Return the latest time such that a majority of the voters answered calls sent since."""
        times = [self.answered_ms(member.replica_id) for member in members if member.voter]
        return _majority_value(times, NEVER_MS)


def _majority_value(values: list[int], default: int) -> int:
    """Return the largest value that a majority of `values` reaches; `default` if empty."""
    if not values:
        return default
    return sorted(values, reverse=True)[len(values) // 2]
