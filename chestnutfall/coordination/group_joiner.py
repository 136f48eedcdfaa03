"""Requests of this controller to become a member of the group."""

from __future__ import annotations

from ..clock import Clock
from ..consensus import Replica
from ..consensus.role import Role
from .leader_relay import LeaderRelay
from .relay_messages import Accepted, JoinGroup, Unavailable

RETRY_MS = 500
"""Short compared with the seconds in which a lost host has to be replaced; costs a few bytes per
second."""
LEADER_CONTACT_MS = 1_500
"""A member without contact to a leader for this long may have been replaced meanwhile."""


class GroupJoiner:
    """Asks to be added while this controller is not a member, or has no contact to a leader.

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
    ) -> None:
        self._replica = replica
        self._relay = relay
        self._clock = clock
        self._address = address
        self.first_addresses = first_addresses

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
        msg = JoinGroup(self._replica.replica_id, self._address)
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
        members = {member.replica_id for member in self._replica.members}
        return (
            self._replica.replica_id in members
            and self._replica.leader_contact_age_ms() < LEADER_CONTACT_MS
        )
