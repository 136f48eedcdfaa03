"""Who belongs to the group of controllers."""

from __future__ import annotations

import logging
from dataclasses import replace

from ..clock import Clock
from ..consensus import Busy, LeadershipLost, Member, NotLeader, Replica, StorageFailed
from ..control.commands import COMMAND_CODEC, CompleteGroup
from ..control.control_state import ControlState
from .relay_messages import JoinGroup

log = logging.getLogger(__name__)
TICK_MS = 100
"""Repair takes three steps; at this pace under half a second."""
JOINER_FRESH_MS = 2_000
"""A joiner repeats its wish every half second; one that was not heard for this long is gone."""
REPLACE_AFTER_MS = 3_000
"""A silent voter is replaced when a caught-up learner stands by. One that comes back joins as a
learner, so a replacement that was not needed costs nothing but two entries."""
DROP_LEARNER_AFTER_MS = 30_000
"""A restart takes seconds; a learner that is gone for longer joins anew."""
SMALL_GROUP_AFTER_MS = 8_000
"""With too few hosts for the tolerated losses, the group works with those it has after this."""


class GroupKeeper:
    """Adds, promotes and replaces controllers while this one leads.

    The group has 2f + 1 voters, so that any f of them may be lost. Nothing is acknowledged
    before it had that many once.
    """

    def __init__(self, replica: Replica, state: ControlState, clock: Clock, losses: int) -> None:
        self._replica = replica
        self._state = state
        self._clock = clock
        self._target = 2 * losses + 1
        self._joiners: dict[str, tuple[str, int]] = {}
        self._led_since_ms = -1

    def wants_to_join(self, msg: JoinGroup) -> None:
        """Note a controller that asks to be a member."""
        self._joiners[msg.replica_id] = (msg.address, self._clock.now_ms())

    async def run(self) -> None:
        """Keep the group while leading, until cancelled."""
        while True:
            await self._clock.sleep_ms(TICK_MS)
            if not self._replica.can_decide():
                self._led_since_ms = -1
                continue
            if self._led_since_ms < 0:
                self._led_since_ms = self._clock.now_ms()
            try:
                await self._step()
            except (NotLeader, Busy, LeadershipLost, StorageFailed, ValueError) as exc:
                log.warning("group: no change: %s", exc)

    async def _step(self) -> None:
        if not self._state.group_complete and self._is_complete():
            await self._replica.propose(COMMAND_CODEC.encode(CompleteGroup()))
            log.info("group: complete with %s", [m.replica_id for m in self._replica.members])
        members = self._next_members()
        if members is not None:
            log.info("group: members become %s", members)
            await self._replica.change_members(members)

    def _is_complete(self) -> bool:
        voters = sum(member.voter for member in self._replica.members)
        led_ms = self._clock.now_ms() - self._led_since_ms
        return voters >= self._target or (led_ms > SMALL_GROUP_AFTER_MS and not self._fresh())

    def _next_members(self) -> tuple[Member, ...] | None:
        """The membership after one step towards the wanted one; None when there is none."""
        members = self._replica.members
        present = {member.replica_id: member for member in members}
        for replica_id, address in self._fresh().items():
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

    def _fresh(self) -> dict[str, str]:
        now_ms = self._clock.now_ms()
        return {
            replica_id: address
            for replica_id, (address, heard_ms) in self._joiners.items()
            if now_ms - heard_ms < JOINER_FRESH_MS
        }

    def _is_replaced(self, member: Member, present: dict[str, Member]) -> bool:
        # A host that lost its disk comes back at its address under a new identity. The old one
        # can never answer again; while it counts as a voter, one more loss stops every change.
        for replica_id, address in self._fresh().items():
            newcomer = present.get(replica_id)
            if newcomer is not None and address == member.address:
                caught_up = newcomer.voter or self._has_caught_up(newcomer)
                # Only a leader decides here, and it never removes itself.
                others = (replica_id, self._replica.replica_id)
                return caught_up and member.replica_id not in others
        return False

    def _is_stale_learner(self, member: Member) -> bool:
        return not member.voter and self._silent_ms(member) > DROP_LEARNER_AFTER_MS

    def _has_caught_up(self, member: Member) -> bool:
        return self._replica.progress.match(member.replica_id) >= self._replica.commit_index

    def _silent_ms(self, member: Member) -> int:
        if member.replica_id == self._replica.replica_id:
            return 0
        heard_ms = max(self._replica.progress.answered_ms(member.replica_id), self._led_since_ms)
        return self._clock.now_ms() - heard_ms
