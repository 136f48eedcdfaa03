"""Requests of this controller to become a member of the group, at the place where it stands."""

from __future__ import annotations

from ..clock import Clock
from ..consensus import Replica, Tolerance
from ..consensus.role import Role
from ..consensus.tolerance import NO_TOLERANCE
from ..settings.host_place import UNKNOWN_PLACE, HostPlace
from .leader_relay import LeaderRelay
from .member_place import is_known_at
from .relay_messages import Accepted, JoinGroup, Unavailable

RETRY_MS = 500
"""Short compared with the seconds in which a lost host has to be replaced; costs a few bytes per
second."""
LEADER_CONTACT_MS = 1_500
"""A member without contact to a leader for this long may have been replaced meanwhile."""


class GroupJoiner:
    """Asks to be added while this controller is not a member, or has no contact to a leader.

    Founders are members before any of them knows where the others stand. Where losses of data
    centres or regions are tolerated, they ask until the group knows their place.

    Parameters
    ----------
    place : HostPlace
        Where this host stands.
    tolerance : Tolerance
        What may be lost at the same time.

    Attributes
    ----------
    first_addresses : tuple of str
        Addresses of controllers from the settings.
    """

    def __init__(
        self,
        replica: Replica,
        relay: LeaderRelay,
        clock: Clock,
        address: str,
        first_addresses: tuple[str, ...],
        place: HostPlace = UNKNOWN_PLACE,
        tolerance: Tolerance = NO_TOLERANCE,
    ) -> None:
        self._replica = replica
        self._relay = relay
        self._clock = clock
        self._address = address
        self.first_addresses = first_addresses
        self._place = place
        self._tolerance = tolerance

    async def run(self) -> None:
        """Ask one controller after the other, until cancelled."""
        while True:
            await self._clock.sleep_ms(RETRY_MS)
            if self._is_active_member():
                continue
            known = [member.address for member in self._replica.members]
            for address in dict.fromkeys((*self.first_addresses, *known)):
                if address != self._address and await self._ask(address):
                    break

    async def _ask(self, address: str) -> bool:
        """Ask one controller, then the leader that it names; True if one of them accepted."""
        msg = JoinGroup(self._replica.replica_id, self._address, self._place)
        answer = await self._relay.ask_at(address, msg)
        # The settings name only some of the controllers. Without this redirect, a host that lost
        # its disk could not join while a controller leads that the settings don't name, and the
        # next loss could cost the majority.
        if isinstance(answer, Unavailable) and answer.leader not in ("", self._address):
            answer = await self._relay.ask_at(answer.leader, msg)
        return isinstance(answer, Accepted)

    def _is_active_member(self) -> bool:
        if self._replica.role is Role.LEADER:
            return True
        own = [one for one in self._replica.members if one.replica_id == self._replica.replica_id]
        if not all(is_known_at(one, self._place, self._tolerance) for one in own):
            return False
        return bool(own) and self._replica.leader_contact_age_ms() < LEADER_CONTACT_MS
