"""Membership of the group of controllers."""

from __future__ import annotations

import logging
from dataclasses import replace

from ..clock import Clock
from ..consensus import (
    Busy,
    LeadershipLost,
    Member,
    NotLeader,
    Replica,
    StorageFailed,
    Tolerance,
)
from ..control.commands import CompleteGroup, encode_command
from ..control.control_state import ControlState
from ..settings.host_place import HostPlace
from .joiners import Joiners
from .member_place import is_known_at, moved, place_of
from .relay_messages import JoinGroup
from .voter_plan import VoterPlan

log = logging.getLogger(__name__)
TICK_MS = 100
"""A repair takes three steps, which at this interval take less than half a second."""
REPLACE_AFTER_MS = 3_000
"""A voter that is silent for this long is replaced if a caught-up learner is available. A voter
that comes back joins as a learner, so an unnecessary replacement costs only two log entries."""
DROP_LEARNER_AFTER_MS = 30_000
"""A restart takes seconds; a learner that is silent for longer has to join again."""
SMALL_GROUP_AFTER_MS = 8_000
"""If there are too few hosts for the tolerated losses, the group starts to work with those that it
has after this time. Until more voters join, an entry then needs copies that can't all be lost."""


class GroupManager:
    """Adds, promotes, replaces and removes controllers while this one leads.

    The voters are so many, and stand so far apart, that a majority of them is left after each loss
    that is tolerated. No document or version is acknowledged before the group was complete once.

    Parameters
    ----------
    tolerance : Tolerance
        What may be lost at the same time.
    place : HostPlace
        Where the host of this controller stands.
    """

    def __init__(
        self,
        replica: Replica,
        state: ControlState,
        clock: Clock,
        tolerance: Tolerance,
        place: HostPlace,
    ) -> None:
        self._replica = replica
        self._state = state
        self._clock = clock
        self._tolerance = tolerance
        self._plan = VoterPlan(tolerance)
        self._place = place
        self._joiners = Joiners(replica, clock)
        self._led_since_ms = -1

    def register_joiner(self, msg: JoinGroup) -> None:
        """Note that a controller asks to be a member, or names its place."""
        self._joiners.register(msg)

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
            self._log_complete()
        members = self._next_members()
        if members is not None:
            log.info("group: members become %s", members)
            await self._replica.change_members(members)

    def _voters(self) -> list[Member]:
        return [member for member in self._replica.members if member.voter]

    def _is_complete(self) -> bool:
        led_ms = self._clock.now_ms() - self._led_since_ms
        return self._tolerance.is_borne_by(self._voters()) or (
            led_ms > SMALL_GROUP_AFTER_MS and not self._joining()
        )

    def _joining(self) -> set[str]:
        """Return the controllers that ask to join and don't vote yet."""
        return self._joiners.recent().keys() - {one.replica_id for one in self._voters()}

    def _log_complete(self) -> None:
        voters = self._voters()
        log.info("group: complete with %s", [one.replica_id for one in voters])
        if not self._tolerance.is_borne_by(voters):
            log.error(
                "group: %s is to be tolerated, but %d of the %d voters may be lost at once",
                self._tolerance,
                self._tolerance.worst_loss(voters),
                len(voters),
            )

    def _next_members(self) -> tuple[Member, ...] | None:
        """Return the membership after one step towards the plan; None if no step is due."""
        members = self._replica.members
        return (
            self._with_joiner(members)
            or self._with_place(members)
            or self._with_voter(members)
            or self._without_replaced(members)
            or self._without_surplus(members)
        )

    def _with_joiner(self, members: tuple[Member, ...]) -> tuple[Member, ...] | None:
        present = {member.replica_id for member in members}
        for replica_id, joiner in self._joiners.recent().items():
            if replica_id not in present:
                learner = Member(replica_id, joiner.address, voter=False)
                return (*members, moved(learner, joiner.place))
        return None

    def _with_place(self, members: tuple[Member, ...]) -> tuple[Member, ...] | None:
        """Enter the place of a member that the group doesn't know, or that has moved."""
        places = {one.replica_id: one.place for one in self._joiners.recent().values()}
        places[self._replica.replica_id] = self._place
        for member in members:
            place = places.get(member.replica_id, place_of(member))
            if not is_known_at(member, place, self._tolerance):
                return tuple(moved(one, place) if one is member else one for one in members)
        return None

    def _with_voter(self, members: tuple[Member, ...]) -> tuple[Member, ...] | None:
        """Promote a learner if voters are missing, or if one in a better place is to take over."""
        wanted = self._wanted(members)
        missing = next((one for one in members if one in wanted and not one.voter), None)
        voters = [one for one in members if one.voter]
        if missing is None or (len(voters) >= len(wanted) and not self._misplaced(voters, wanted)):
            return None
        return tuple(replace(one, voter=True) if one is missing else one for one in members)

    def _misplaced(self, voters: list[Member], wanted: tuple[Member, ...]) -> list[Member]:
        """Return voters that others are to replace though they are up.

        Voters that bear all losses stay, also if fewer of them would.
        """
        if self._tolerance.is_borne_by(voters):
            return []
        return [one for one in voters if one not in wanted and not self._is_silent(one)]

    def _wanted(self, members: tuple[Member, ...]) -> tuple[Member, ...]:
        """Return the voters to aim for, among those that are up and have all entries.

        Voters that are down stay as long as there is none to replace them.
        """
        left = [one for one in members if one.replica_id not in self._replica.lost]
        usable = [
            one
            for one in left
            if not self._is_silent(one) and (one.voter or self._has_caught_up(one))
        ]
        silent = [one for one in left if one.voter and self._is_silent(one)]
        return self._plan.choose(usable, self._replica.replica_id, silent)

    def _without_replaced(self, members: tuple[Member, ...]) -> tuple[Member, ...] | None:
        for member in members:
            if self._is_replaced(member) or self._is_stale_learner(member):
                self._joiners.forget(member.replica_id)
                return tuple(one for one in members if one is not member)
        return None

    def _without_surplus(self, members: tuple[Member, ...]) -> tuple[Member, ...] | None:
        """Remove a silent voter that a learner can replace, or demote one that is not wanted."""
        wanted = self._wanted(members)
        unwanted = [one for one in members if one.voter and one not in wanted]
        if len(wanted) < self._plan.least_voters or not unwanted:
            return None
        silent = [one for one in unwanted if self._is_silent(one)]
        if silent and not all(one.voter for one in wanted):
            return tuple(one for one in members if one is not silent[0])
        misplaced = self._misplaced([one for one in members if one.voter], wanted)
        if not misplaced or not all(one.voter for one in wanted):
            return None
        demoted = misplaced[0]
        return tuple(replace(one, voter=False) if one is demoted else one for one in members)

    def _is_replaced(self, member: Member) -> bool:
        # A host that lost its disk comes back at the same address under a new identity. The old
        # identity can never answer again; while it counts as a voter, one more loss can stop all
        # writes.
        present = {one.replica_id: one for one in self._replica.members}
        for replica_id, joiner in self._joiners.recent().items():
            newcomer = present.get(replica_id)
            if newcomer is not None and joiner.address == member.address:
                caught_up = newcomer.voter or self._has_caught_up(newcomer)
                # Only the leader decides here, and it never removes itself.
                others = (replica_id, self._replica.replica_id)
                return caught_up and member.replica_id not in others
        return False

    def _is_stale_learner(self, member: Member) -> bool:
        return not member.voter and self._silent_ms(member) > DROP_LEARNER_AFTER_MS

    def _has_caught_up(self, member: Member) -> bool:
        return self._replica.progress.match_index(member.replica_id) >= self._replica.commit_index

    def _is_silent(self, member: Member) -> bool:
        is_lost = member.replica_id in self._replica.lost
        return is_lost or self._silent_ms(member) > REPLACE_AFTER_MS

    def _silent_ms(self, member: Member) -> int:
        if member.replica_id == self._replica.replica_id:
            return 0
        last_contact_ms = max(
            self._replica.progress.answered_ms(member.replica_id), self._led_since_ms
        )
        return self._clock.now_ms() - last_contact_ms
