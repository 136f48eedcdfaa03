"""Mutants of the safeguards of the replicated log."""

from __future__ import annotations

from ..mutant import Mutant

_REPLICA = "chestnutfall/consensus/replica.py"
_ELECTION = "chestnutfall/consensus/election.py"
_FOLLOWER = "chestnutfall/consensus/follower.py"
_REPLICA_TEST = "chestnutfall.tests.test_replica"
_VOTERS_TEST = "chestnutfall.tests.test_voters"
_STORAGE_TEST = "chestnutfall.tests.test_file_storage"

CONSENSUS_MUTANTS = (
    Mutant(
        "leader decides without lease",
        _REPLICA,
        "            and self.clock.now_ms() < leadership.lease_until_ms()\n        )",
        "        )",
        _REPLICA_TEST,
    ),
    Mutant(
        "votes although it hears a leader",
        _ELECTION,
        "        if self._follows_leader() and not req.transfer:",
        "        if False:",
        _REPLICA_TEST,
    ),
    Mutant(
        "restarted follower votes at once",
        _ELECTION,
        "        self._leader_contact_ms = min(process_start_ms or now_ms, now_ms)",
        "        self._leader_contact_ms = -10_000",
        _REPLICA_TEST,
    ),
    Mutant(
        "no pre-vote",
        _ELECTION,
        "        if not transfer and not await collect_votes(",
        "        if False and not await collect_votes(",
        _REPLICA_TEST,
    ),
    Mutant(
        "vote not stored before it is given",
        _ELECTION,
        "        await replica.journal.write([HardState(replica.term, replica.voted_for)])\n"
        "        unchanged = ",
        "        unchanged = ",
        _REPLICA_TEST,
    ),
    Mutant(
        "append acknowledged before it is synced",
        _FOLLOWER,
        "        await replica.journal.write(records)\n        matched =",
        "        replica.journal.write(records)\n        matched =",
        _REPLICA_TEST,
    ),
    Mutant(
        "old term's majority counts as committed",
        "chestnutfall/consensus/leadership.py",
        " and replica.log.term_at(index) == self.term:",
        ":",
        _REPLICA_TEST,
    ),
    Mutant(
        "vote for a shorter log",
        _ELECTION,
        "        up_to_date = (req.last_term, req.last_index) >= own_position",
        "        up_to_date = bool(own_position)",
        _REPLICA_TEST,
    ),
    Mutant(
        "failing sync is retried",
        "chestnutfall/consensus/journal.py",
        "                self._fail(exc, synced)\n                raise",
        "                pass",
        _REPLICA_TEST,
    ),
    Mutant(
        "new disk answers to the old identity",
        _REPLICA,
        "        if msg.to != self.replica_id:",
        "        if False:",
        _REPLICA_TEST,
    ),
    Mutant(
        "learner promoted before it caught up",
        _REPLICA,
        "                self._check_caught_up(member)",
        "                pass",
        _REPLICA_TEST,
    ),
    Mutant(
        "two membership changes at once",
        _REPLICA,
        "        if self.log.members_index > self.commit_index:",
        "        if False:",
        _REPLICA_TEST,
    ),
    Mutant(
        "damage in the middle taken for a torn tail",
        "chestnutfall/consensus/frame.py",
        "    for later_offset in range(offset + 1, len(data) - _HEADER.size):",
        "    for later_offset in range(0):",
        _STORAGE_TEST,
    ),
    Mutant(
        "torn tail not cut",
        "chestnutfall/consensus/file_storage.py",
        "            self._folder.truncate(name, valid_bytes)",
        "            pass",
        _STORAGE_TEST,
    ),
    Mutant(
        "second process on a data folder",
        "chestnutfall/consensus/disk_folder.py",
        "            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)",
        "            pass",
        _STORAGE_TEST,
    ),
    Mutant(
        "callers share one cancellable sync",
        "chestnutfall/consensus/journal.py",
        "        shielded = asyncio.shield(self._synced)",
        "        shielded = self._synced",
        _REPLICA_TEST,
    ),
    Mutant(
        "start of the process does not count as silence",
        _ELECTION,
        "        self._leader_contact_ms = min(process_start_ms or now_ms, now_ms)",
        "        self._leader_contact_ms = now_ms",
        _REPLICA_TEST,
    ),
    Mutant(
        "refused candidate waits a whole timeout",
        _ELECTION,
        "            self._schedule_early_retry()\n",
        "",
        _REPLICA_TEST,
    ),
    Mutant(
        "a small group commits what may be lost with all its copies",
        "chestnutfall/consensus/quorum.py",
        "        return not self._tolerance.may_lose(",
        "        return True or self._tolerance.may_lose(",
        "chestnutfall.tests.test_quorum",
    ),
    Mutant(
        "only a majority ever elects a leader",
        "chestnutfall/consensus/quorum.py",
        "        return self._is_majority(len(held)) or self._are_all_left(held, lost)",
        "        return self._is_majority(len(held))",
        "chestnutfall.tests.test_quorum",
    ),
    Mutant(
        "those that are left elect a leader after any loss",
        "chestnutfall/consensus/quorum.py",
        "            return False\n        return self._tolerance.may_lose(",
        "            return False\n        return True or self._tolerance.may_lose(",
        "chestnutfall.tests.test_quorum",
    ),
    Mutant(
        "some of those that are left elect a leader",
        "chestnutfall/consensus/quorum.py",
        "        if not gone or not left or not left <= set(held):",
        "        if not gone or not left:",
        "chestnutfall.tests.test_quorum",
    ),
    Mutant(
        "voters are not spread over data centres",
        "chestnutfall/coordination/voter_plan.py",
        "data_centres[one.data_centre] if self.tolerance.data_centres else 0",
        "0",
        _VOTERS_TEST,
    ),
    Mutant(
        "the data centres that may be lost are not read",
        "chestnutfall/platform/node_file.py",
        'int(tolerate.get("zones", 0))',
        "0",
        "chestnutfall.tests.test_platform",
    ),
    Mutant(
        "the places of founders stay unknown",
        "chestnutfall/coordination/group_joiner.py",
        "        if not all(is_known_at(one, self._place, self._tolerance) for one in own):",
        "        if False:",
        _VOTERS_TEST,
    ),
    Mutant(
        "hosts without disks are found by their own requests only",
        "chestnutfall/coordination/joiners.py",
        "            if successor and member.replica_id in self._replica.lost:",
        "            if False:",
        _VOTERS_TEST,
    ),
    Mutant(
        "the voters before a change are not asked to commit it",
        "chestnutfall/consensus/leadership.py",
        "        if before is not None and not before.is_sufficient:",
        "        if False:",
        _VOTERS_TEST,
    ),
    Mutant(
        "a removed member is not asked to commit its removal",
        "chestnutfall/consensus/leadership.py",
        "            members = [*self._replica.log.previous_members, *members]",
        "            pass",
        _VOTERS_TEST,
    ),
    Mutant(
        "a lost disk is proven to candidates only",
        "chestnutfall/consensus/leadership.py",
        "            replica.note_lost(member, reply.replica_id)\n",
        "            pass\n",
        _VOTERS_TEST,
    ),
    Mutant(
        "hosts whose loss does not count vote",
        "chestnutfall/coordination/voter_plan.py",
        "        eligible = [one for one in candidates if one.counts]",
        "        eligible = list(candidates)",
        _VOTERS_TEST,
    ),
    Mutant(
        "what a proven loss commits is not looked at again",
        "chestnutfall/consensus/leadership.py",
        "                self.advance_commit()\n                await",
        "                await",
        "properties.test_group_losses",
    ),
    Mutant(
        "a small group waits for ever for a host that is gone",
        "chestnutfall/consensus/leadership.py",
        "        if self._since_ms > least_ms:",
        "        if True:",
        _VOTERS_TEST,
    ),
    Mutant(
        "voters are demoted though all of them bear the losses",
        "chestnutfall/coordination/group_manager.py",
        "        if self._tolerance.is_borne_by(voters):\n            return []",
        "        if False:\n            return []",
        _VOTERS_TEST,
    ),
)
