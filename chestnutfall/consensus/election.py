"""Votes, election timeouts and campaigns of one replica."""

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
    """Decides when a replica grants its vote and when it campaigns for others' votes."""

    def __init__(self, replica: Replica, rng: random.Random) -> None:
        self._replica = replica
        self._rng = rng
        self._campaigning = False
        self._leader_contact_ms = 0
        self._election_due_ms = 0

    def begin(self, process_start_ms: int | None) -> None:
        """Initialise the timers, after the replica's state was loaded.

        Parameters
        ----------
        process_start_ms : int or None
            When the process started, if no replica ran in it before; None counts as now.
        """
        # A restarted follower doesn't know whether it had contact with a leader just before the
        # restart. If it voted at once, it could help elect a second leader within the first
        # one's lease. So its own start counts as leader contact, and it grants no vote for one
        # election timeout. The start of the process is used where known: a new process had no
        # contact while it loaded its libraries, which takes a controller 0.2 s.
        now_ms = self._replica.clock.now_ms()
        self._leader_contact_ms = min(process_start_ms or now_ms, now_ms)
        self._restart_timer()

    def record_leader_contact(self) -> None:
        """Record a message from the current leader and restart the election timeout."""
        self._leader_contact_ms = self._replica.clock.now_ms()
        self._restart_timer()

    def leader_contact_age_ms(self) -> int:
        """Time since the last message from a leader, or since the start."""
        return self._replica.clock.now_ms() - self._leader_contact_ms

    async def on_vote(self, req: VoteRequest) -> VoteReply:
        """Answer a vote or pre-vote request; a granted vote is synced to disk before the reply."""
        replica = self._replica
        own_position = (replica.log.last_term, replica.log.last_index)
        up_to_date = (req.last_term, req.last_index) >= own_position
        # A replica that lost contact must not depose a leader that the others still follow. The
        # leader's lease relies on this: no other leader is elected within `election_min_ms`
        # after a majority had contact with this one.
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
        unchanged = replica.term == req.term and replica.voted_for == req.sender
        return VoteReply(replica.term, granted and unchanged)

    def _follows_leader(self) -> bool:
        replica = self._replica
        if replica.leadership is not None:
            return replica.clock.now_ms() < replica.leadership.lease_until_ms()
        return self.leader_contact_age_ms() < replica.timing.election_min_ms

    def _restart_timer(self) -> None:
        timing = self._replica.timing
        wait_ms = self._rng.randint(timing.election_min_ms, timing.election_max_ms)
        self._election_due_ms = self._replica.clock.now_ms() + wait_ms

    def _schedule_early_retry(self) -> None:
        """Schedule the next pre-vote earlier than a whole election timeout from now.

        Voters refuse for one election timeout after their last contact with the old leader, and
        some received its last heartbeat later than this replica; others are just starting. A
        pre-vote deposes no leader, so it may be repeated early. With timeouts of 0.6 to 1 s this
        shortens the longest elections from 1.5 s to 1.2 s.
        """
        least_ms = self._replica.timing.election_min_ms // 4
        wait_ms = self._rng.randint(least_ms, 2 * least_ms)
        self._election_due_ms = self._replica.clock.now_ms() + wait_ms

    async def run(self) -> None:
        """Campaign whenever the election timeout passes without a leader, until cancelled.

        A leader whose lease expired longer than `election_max_ms` ago steps down.
        """
        replica = self._replica
        while True:
            wait_ms = self._election_due_ms - replica.clock.now_ms()
            if wait_ms > 0:
                await replica.clock.sleep_ms(wait_ms)
                continue
            self._restart_timer()
            if replica.leadership is not None:
                step_down_at_ms = (
                    replica.leadership.lease_until_ms() + replica.timing.election_max_ms
                )
                if replica.clock.now_ms() > step_down_at_ms:
                    replica.step_down()
            elif replica.is_voter():
                await self.campaign(transfer=False)

    async def campaign(self, transfer: bool) -> None:
        """Campaign for leadership, and become leader if a majority grants its votes.

        Does nothing while another campaign is in progress or this replica leads. With `transfer`,
        which the leader itself asked for, there is no pre-vote.
        """
        if self._campaigning or self._replica.role is Role.LEADER:
            return
        self._campaigning = True
        try:
            await self._ask_for_votes(transfer)
        finally:
            self._campaigning = False

    async def _ask_for_votes(self, transfer: bool) -> None:
        replica = self._replica
        # The pre-vote doesn't raise the term. So a replica that can't win an election doesn't
        # depose the leader with a later term when its partition heals.
        if not transfer and not await collect_votes(replica, replica.term + 1, True, False):
            self._schedule_early_retry()
            return
        term = replica.become_candidate()
        await replica.journal.write([HardState(term, replica.voted_for)])
        won = await collect_votes(replica, term, False, transfer)
        if won and replica.term == term and replica.role is Role.CANDIDATE:
            replica.become_leader()
