"""Every safeguard that has a proof."""

from __future__ import annotations

from .mutant import Mutant

_REPLICA = "chestnutfall/consensus/replica.py"
_STATE = "chestnutfall/control/control_state.py"
_LOG = "properties.test_replicated_log"
_REPLICA_TEST = "chestnutfall.tests.test_replica"
_STATE_TEST = "properties.test_control_state"
_STORAGE_TEST = "chestnutfall.tests.test_file_storage"

MUTANTS = (
    Mutant(
        "leader decides without lease",
        _REPLICA,
        "            and self.clock.now_ms() < self._lease_until_ms()\n        )",
        "        )",
        _REPLICA_TEST,
    ),
    Mutant(
        "votes although it hears a leader",
        _REPLICA,
        "        if self._follows_leader() and not req.transfer:",
        "        if False:",
        _REPLICA_TEST,
    ),
    Mutant(
        "restarted follower votes at once",
        _REPLICA,
        "        self._heard_leader_ms = self.clock.now_ms()\n        self._restart_election_timer()"
        "\n        self._spawn(self.journal.run())",
        "        self._heard_leader_ms = -10_000\n        self._restart_election_timer()"
        "\n        self._spawn(self.journal.run())",
        _LOG,
    ),
    Mutant(
        "no pre-vote",
        _REPLICA,
        "            if not transfer and not await self._collect_votes(self.term + 1, True, False):",
        "            if False:",
        _REPLICA_TEST,
    ),
    Mutant(
        "vote not stored before it is given",
        _REPLICA,
        "        await self.journal.write([HardState(self.term, self.voted_for)])\n"
        "        still = ",
        "        still = ",
        _LOG,
    ),
    Mutant(
        "append acknowledged before it is synced",
        _REPLICA,
        "        await self.journal.write(records)\n        matched =",
        "        self.journal.write(records)\n        matched =",
        _LOG,
    ),
    Mutant(
        "old term's majority counts as committed",
        _REPLICA,
        " and self.log.term_at(index) == self.term:",
        ":",
        _LOG,
    ),
    Mutant(
        "vote for a shorter log",
        _REPLICA,
        "        up_to_date = (req.last_term, req.last_index) >= ours",
        "        up_to_date = bool(ours)",
        _LOG,
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
        "    for later in range(at + 1, len(data) - _HEAD.size):",
        "    for later in range(0):",
        _STORAGE_TEST,
    ),
    Mutant(
        "torn tail not cut",
        "chestnutfall/consensus/file_storage.py",
        "            self._folder.cut(name, whole)",
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
        "no compare-and-set",
        _STATE,
        "        if change.from_revision != self.revision:",
        "        if False:",
        _STATE_TEST,
    ),
    Mutant(
        "resent change not recognised",
        _STATE,
        "        if made is not None:\n            return Changed(made.revision)",
        "        pass",
        _STATE_TEST,
    ),
    Mutant(
        "claim given to a second attempt",
        _STATE,
        "        if claim is not None and claim.attempt_id != take.attempt_id:",
        "        if False:",
        _STATE_TEST,
    ),
    Mutant(
        "another attempt releases the claim",
        _STATE,
        "        if claim is None or claim.attempt_id != end.attempt_id:",
        "        if claim is None:",
        _STATE_TEST,
    ),
    Mutant(
        "more loads than permitted",
        _STATE,
        " and len(self.permits) >= take.at_once:",
        " and False:",
        _STATE_TEST,
    ),
)
