"""Asking to be a member of the group."""

from __future__ import annotations

from ..clock import Clock
from ..consensus import Replica
from ..consensus.role import Role
from .relay_desk import RelayDesk
from .relay_messages import Accepted, JoinGroup, Unavailable

ASK_MS = 500
"""Small beside the seconds in which a lost host must be made good; a few bytes a second."""
CONTACT_MS = 1_500
"""A member that heard from no leader for this long may have been replaced meanwhile."""


class GroupJoiner:
    """Asks to be added while this controller is no member, or hears from no leader.

    Attributes
    ----------
    first_addresses : tuple of str
        Controllers that the settings name.
    """

    def __init__(
        self,
        replica: Replica,
        desk: RelayDesk,
        clock: Clock,
        address: str,
        first_addresses: tuple[str, ...],
    ) -> None:
        self._replica = replica
        self._desk = desk
        self._clock = clock
        self._address = address
        self.first_addresses = first_addresses

    async def run(self) -> None:
        """Ask one controller after another, until cancelled."""
        while True:
            await self._clock.sleep_ms(ASK_MS)
            if self._is_in():
                continue
            known = [member.address for member in self._replica.members]
            for address in dict.fromkeys((*self.first_addresses, *known)):
                if address != self._address and await self._ask(address):
                    break

    async def _ask(self, address: str) -> bool:
        """Ask one controller, and the leader that it knows; whether one of them agreed."""
        msg = JoinGroup(self._replica.replica_id, self._address)
        answer = await self._desk.ask_at(address, msg)
        # The settings name only some of the controllers. Symptom if their word on who leads were
        # not followed: a host that lost its disk never joins while another one leads, and the
        # next loss takes the majority with it.
        if isinstance(answer, Unavailable) and answer.leader not in ("", self._address):
            answer = await self._desk.ask_at(answer.leader, msg)
        return isinstance(answer, Accepted)

    def _is_in(self) -> bool:
        if self._replica.role is Role.LEADER:
            return True
        members = {member.replica_id for member in self._replica.members}
        return self._replica.replica_id in members and self._replica.leader_silent_ms() < CONTACT_MS
