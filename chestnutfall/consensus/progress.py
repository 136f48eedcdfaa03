"""What a leader knows of its followers."""

from __future__ import annotations

from collections.abc import Sequence

from .member import Member

NEVER_MS = -(10**12)


class Progress:
    """How far each replica's log matches, and when it last answered this leader."""

    def __init__(self) -> None:
        self._match: dict[str, int] = {}
        self._answered_ms: dict[str, int] = {}

    def answered(self, replica_id: str, sent_ms: int) -> None:
        """Note an answer in our term to a call sent at `sent_ms`."""
        self._answered_ms[replica_id] = max(sent_ms, self.answered_ms(replica_id))

    def matched(self, replica_id: str, index: int) -> None:
        """Note that `replica_id` has synced every entry up to `index`."""
        self._match[replica_id] = max(index, self.match(replica_id))

    def match(self, replica_id: str) -> int:
        """Last index known to be synced there."""
        return self._match.get(replica_id, 0)

    def answered_ms(self, replica_id: str) -> int:
        """When the newest call that it answered was sent."""
        return self._answered_ms.get(replica_id, NEVER_MS)

    def quorum_match(self, members: Sequence[Member]) -> int:
        """Highest index that a majority of the voters has synced."""
        return _majority([self.match(member.replica_id) for member in members if member.voter], 0)

    def quorum_answered_ms(self, members: Sequence[Member]) -> int:
        """Latest time after which a majority of the voters still followed this leader."""
        times = [self.answered_ms(member.replica_id) for member in members if member.voter]
        return _majority(times, NEVER_MS)


def _majority(values: list[int], nothing: int) -> int:
    if not values:
        return nothing
    return sorted(values, reverse=True)[len(values) // 2]
