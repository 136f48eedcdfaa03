"""Controllers that ask to be members of the group."""

from __future__ import annotations

from ..clock import Clock
from ..consensus import Replica
from .member_place import place_of
from .relay_messages import JoinGroup

JOINER_TIMEOUT_MS = 2_000
"""A joiner repeats its request every half second; without a request for this long it is gone."""


class Joiners:
    """What controllers that want to be members said last, while this one leads.

    A host that lost its disk knows the first controllers only. If none of them can name the leader,
    the host is found by its old address: another identity answers there.
    """

    def __init__(self, replica: Replica, clock: Clock) -> None:
        self._replica = replica
        self._clock = clock
        self._known: dict[str, tuple[JoinGroup, int]] = {}

    def register(self, msg: JoinGroup) -> None:
        """Note the request of a controller."""
        self._known[msg.replica_id] = (msg, self._clock.now_ms())

    def recent(self) -> dict[str, JoinGroup]:
        """Return the requests of the controllers that are there, by identity."""
        now_ms = self._clock.now_ms()
        found = {
            replica_id: msg
            for replica_id, (msg, last_contact_ms) in self._known.items()
            if now_ms - last_contact_ms < JOINER_TIMEOUT_MS
        }
        for member in self._replica.members:
            successor = self._replica.successors.get(member.address, "")
            if successor and member.replica_id in self._replica.lost:
                asked = JoinGroup(successor, member.address, place_of(member))
                found.setdefault(successor, asked)
        return found

    def forget(self, replica_id: str) -> None:
        """Drop what is known of a member that is removed."""
        self._known.pop(replica_id, None)
