"""Votes, election timers and campaigns of one replica."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from .campaign import collect_votes
from .messages import VoteReply, VoteRequest
from .role import Role
from .storage import HardState

if TYPE_CHECKING:
    from .replica import Replica


class Election:
    """When a replica votes, and when it asks others for their votes."""

    def __init__(self, replica: Replica, rng: random.Random) -> None:
        self._replica = replica
        self._rng = rng
        self._campaigning = False
        self._heard_leader_ms = 0
        self._due_ms = 0

    def begin(self, process_start_ms: int | None) -> None:
        """Begin with a replica that was just read from its disk."""
        # A restarted follower has forgotten whether it heard from a leader just before.
        # Symptom: its vote elects a second leader inside the first one's lease. So it counts
        # its own start as such a moment and votes for nobody during one election timeout. A
        # process that has just begun heard nobody while it was loading its libraries, so that
        # this time counts too; it is 0.2 s for a controller (`python -X importtime`).
        now_ms = self._replica.clock.now_ms()
        self._heard_leader_ms = min(process_start_ms or now_ms, now_ms)
        self._restart_timer()

    def heard_leader(self) -> None:
        """Note a message of the present leader."""
        self._heard_leader_ms = self._replica.clock.now_ms()
        self._restart_timer()

    def silent_ms(self) -> int:
        """How long nothing was heard from a leader."""
        return self._replica.clock.now_ms() - self._heard_leader_ms

    async def on_vote(self, req: VoteRequest) -> VoteReply:
        """Answer a candidate."""
        replica = self._replica
        ours = (replica.log.last_term, replica.log.last_index)
        up_to_date = (req.last_term, req.last_index) >= ours
        # A replica that was cut off must not depose a leader the others still follow, and the
        # leader's lease relies on it: nobody is elected while a majority has heard from it.
        if self._follows_leader() and not req.transfer:
            return VoteReply(replica.term, False)
        if req.pre:
            return VoteReply(replica.term, up_to_date and req.term > replica.term)
        if req.term > replica.term:
            replica.adopt_term(req.term)
        granted = req.term == replica.term and up_to_date and replica.voted_for in ("", req.sender)
        if granted:
            replica.voted_for = req.sender
            self._restart_timer()
        await replica.journal.write([HardState(replica.term, replica.voted_for)])
        still = replica.term == req.term and replica.voted_for == req.sender
        return VoteReply(replica.term, granted and still)

    def _follows_leader(self) -> bool:
        replica = self._replica
        if replica.leadership is not None:
            return replica.clock.now_ms() < replica.leadership.lease_until_ms()
        return self.silent_ms() < replica.timing.election_min_ms

    def _restart_timer(self) -> None:
        timing = self._replica.timing
        wait_ms = self._rng.randint(timing.election_min_ms, timing.election_max_ms)
        self._due_ms = self._replica.clock.now_ms() + wait_ms

    def _ask_again_soon(self) -> None:
        """Ask for votes again before the next whole timeout.

        Voters refuse for one election timeout after they heard from the old leader, and some heard
        a heartbeat later than we did; others are just starting. Asking in advance deposes nobody,
        so it need not wait: of 12 elections of the fake cluster the longest took 1.2 s instead of
        1.5 s, with timeouts of 0.6 to 1 s; the usual one took 0.7 s either way.
        """
        least_ms = self._replica.timing.election_min_ms // 4
        wait_ms = self._rng.randint(least_ms, 2 * least_ms)
        self._due_ms = self._replica.clock.now_ms() + wait_ms

    async def run(self) -> None:
        """Watch for a missing leader, until cancelled."""
        replica = self._replica
        while True:
            wait_ms = self._due_ms - replica.clock.now_ms()
            if wait_ms > 0:
                await replica.clock.sleep_ms(wait_ms)
                continue
            self._restart_timer()
            if replica.leadership is not None:
                lost_ms = replica.leadership.lease_until_ms() + replica.timing.election_max_ms
                if replica.clock.now_ms() > lost_ms:
                    replica.step_down()
            elif replica.is_voter():
                await self.campaign(transfer=False)

    async def campaign(self, transfer: bool) -> None:
        """Ask for votes, and lead if a majority gives them; `transfer` if the leader wants it."""
        if self._campaigning or self._replica.role is Role.LEADER:
            return
        self._campaigning = True
        try:
            await self._ask_for_votes(transfer)
        finally:
            self._campaigning = False

    async def _ask_for_votes(self, transfer: bool) -> None:
        replica = self._replica
        # Asking first without raising the term keeps a replica that can't win from deposing
        # a leader when its partition heals.
        if not transfer and not await collect_votes(replica, replica.term + 1, True, False):
            self._ask_again_soon()
            return
        term = replica.stand_as_candidate()
        await replica.journal.write([HardState(term, replica.voted_for)])
        won = await collect_votes(replica, term, False, transfer)
        if won and replica.term == term and replica.role is Role.CANDIDATE:
            replica.lead()
