"""Membership of the group of controllers."""

from __future__ import annotations

import logging
from dataclasses import replace

from ..clock import Clock
from ..consensus import Busy, LeadershipLost, Member, NotLeader, Replica, StorageFailed
from ..control.commands import CompleteGroup, encode_command
from ..control.control_state import ControlState
from .relay_messages import JoinGroup

log = logging.getLogger(__name__)
TICK_MS = 100
"""A repair takes three steps, which at this interval take less than half a second."""
JOINER_TIMEOUT_MS = 2_000
"""A joiner repeats its request every half second; without a request for this long it is gone."""
REPLACE_AFTER_MS = 3_000
"""A voter that is silent for this long is replaced if a caught-up learner is available. A voter
that comes back joins as a learner, so an unnecessary replacement costs only two log entries."""
DROP_LEARNER_AFTER_MS = 30_000
"""A restart takes seconds; a learner that is silent for longer has to join again."""
SMALL_GROUP_AFTER_MS = 8_000
"""If there are too few hosts for the tolerated losses, the group starts to work with those that it
has after this time."""


class GroupManager:
    """Adds, promotes, replaces and removes controllers while this one leads.

    The group has 2f + 1 voters, so that it tolerates the loss of any f of them. No document or
    version is acknowledged before the group was complete once.

    Parameters
    ----------
    losses : int
        Number of lost voters to tolerate (f).
    """

    def __init__(self, replica: Replica, state: ControlState, clock: Clock, losses: int) -> None:
        self._replica = replica
        self._state = state
        self._clock = clock
        self._target = 2 * losses + 1
        self._joiners: dict[str, tuple[str, int]] = {}
        self._led_since_ms = -1

    def register_joiner(self, msg: JoinGroup) -> None:
        """Note that a controller asks to be a member."""
        self._joiners[msg.replica_id] = (msg.address, self._clock.now_ms())

    async def run(self) -> None:
        """Maintain the membership while this controller leads, until cancelled."""
        while True:
            await self._clock.sleep_ms(TICK_MS)
            if not self._replica.is_active_leader():
                self._led_since_ms = -1
                continue
            if self._led_since_ms < 0:
                self._led_since_ms = self._clock.now_ms()
            try:
                await self._step()
            except (NotLeader, Busy, LeadershipLost, StorageFailed, ValueError) as exc:
                log.warning("group: membership not changed: %s", exc)

    async def _step(self) -> None:
        if not self._state.group_complete and self._is_complete():
            await self._replica.propose(encode_command(CompleteGroup()))
            log.info("group: complete with %s", [m.replica_id for m in self._replica.members])
        members = self._next_members()
        if members is not None:
            log.info("group: members become %s", members)
            await self._replica.change_members(members)

    def _is_complete(self) -> bool:
        voters = sum(member.voter for member in self._replica.members)
        led_ms = self._clock.now_ms() - self._led_since_ms
        return voters >= self._target or (
            led_ms > SMALL_GROUP_AFTER_MS and not self._recent_joiners()
        )

    def _next_members(self) -> tuple[Member, ...] | None:
        """Return the membership after one step towards the target; None if no step is due."""
        members = self._replica.members
        present = {member.replica_id: member for member in members}
        for replica_id, address in self._recent_joiners().items():
            if replica_id not in present:
                return (*members, Member(replica_id, address, voter=False))
        for member in members:
            if self._is_replaced(member, present) or self._is_stale_learner(member):
                return tuple(one for one in members if one is not member)
        voters = [member for member in members if member.voter]
        ready = [one for one in members if not one.voter and self._has_caught_up(one)]
        if not ready:
            return None
        if len(voters) < self._target:
            return tuple(replace(one, voter=True) if one is ready[0] else one for one in members)
        silent = [one for one in voters if self._silent_ms(one) > REPLACE_AFTER_MS]
        if silent and self._silent_ms(ready[0]) < REPLACE_AFTER_MS:
            return tuple(one for one in members if one is not silent[0])
        return None

    def _recent_joiners(self) -> dict[str, str]:
        now_ms = self._clock.now_ms()
        return {
            replica_id: address
            for replica_id, (address, last_contact_ms) in self._joiners.items()
            if now_ms - last_contact_ms < JOINER_TIMEOUT_MS
        }

    def _is_replaced(self, member: Member, present: dict[str, Member]) -> bool:
        # A host that lost its disk comes back at the same address under a new identity. The old
        # identity can never answer again; while it counts as a voter, one more loss can stop all
        # writes.
        for replica_id, address in self._recent_joiners().items():
            newcomer = present.get(replica_id)
            if newcomer is not None and address == member.address:
                caught_up = newcomer.voter or self._has_caught_up(newcomer)
                # Only the leader decides here, and it never removes itself.
                others = (replica_id, self._replica.replica_id)
                return caught_up and member.replica_id not in others
        return False

    def _is_stale_learner(self, member: Member) -> bool:
        return not member.voter and self._silent_ms(member) > DROP_LEARNER_AFTER_MS

    def _has_caught_up(self, member: Member) -> bool:
        return self._replica.progress.match_index(member.replica_id) >= self._replica.commit_index

    def _silent_ms(self, member: Member) -> int:
        if member.replica_id == self._replica.replica_id:
            return 0
        last_contact_ms = max(
            self._replica.progress.answered_ms(member.replica_id), self._led_since_ms
        )
        return self._clock.now_ms() - last_contact_ms
