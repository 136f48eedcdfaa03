"""Every safeguard that has a proof."""

from __future__ import annotations

from .mutant import Mutant

_REPLICA = "chestnutfall/consensus/replica.py"
_STATE = "chestnutfall/control/control_state.py"
_REPLICA_TEST = "chestnutfall.tests.test_replica"
_STATE_TEST = "properties.test_control_state"
_STORAGE_TEST = "chestnutfall.tests.test_file_storage"
_OWNER = "chestnutfall/ownership/engine_owner.py"
_LOADER = "chestnutfall/ownership/adapter_loader.py"
_DISPATCHER = "chestnutfall/routing/dispatcher.py"
_CHECKS = "chestnutfall/engine_edge/answer_gate.py"
_AGENT = "chestnutfall/membership/site_agent.py"
_UPSTREAM = "chestnutfall/membership/upstream.py"
_CLAIMS = "chestnutfall/routing/claim_desk.py"
_SERVICE = "chestnutfall/control/control_service.py"
_FAULTS_TEST = "chestnutfall.tests.test_request_faults"
_OWNERSHIP_TEST = "chestnutfall.tests.test_ownership"
_CONFIG_TEST = "chestnutfall.tests.test_configuration_in_force"
_ONCE_TEST = "chestnutfall.tests.test_at_most_once"
_LEASE = "        if self.leaving or self._clock.now_ms() >= self._lease_until_ms:"
_SERVING_STATE = '        return heard and self.announcement.state == "serving"'

MUTANTS = (
    Mutant(
        "leader decides without lease",
        _REPLICA,
        "            and self.clock.now_ms() < leadership.lease_until_ms()\n        )",
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
        "        self._heard_leader_ms = min(process_start_ms or now_ms, now_ms)",
        "        self._heard_leader_ms = -10_000",
        _REPLICA_TEST,
    ),
    Mutant(
        "no pre-vote",
        _REPLICA,
        "            if not transfer and not await collect_votes(",
        "            if False and not await collect_votes(",
        _REPLICA_TEST,
    ),
    Mutant(
        "vote not stored before it is given",
        _REPLICA,
        "        await self.journal.write([HardState(self.term, self.voted_for)])\n"
        "        still = ",
        "        still = ",
        _REPLICA_TEST,
    ),
    Mutant(
        "append acknowledged before it is synced",
        _REPLICA,
        "        await self.journal.write(records)\n        matched =",
        "        self.journal.write(records)\n        matched =",
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
        _REPLICA,
        "        up_to_date = (req.last_term, req.last_index) >= ours",
        "        up_to_date = bool(ours)",
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
    Mutant(
        "callers share one cancellable sync",
        "chestnutfall/consensus/journal.py",
        "        mine = asyncio.shield(self._synced)",
        "        mine = self._synced",
        _REPLICA_TEST,
    ),
    Mutant(
        "eviction without asking the engine",
        _LOADER,
        "        if victim.adapter in state.running.values() or victim.pins:",
        "        if victim.pins:",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "ticket does not pin",
        _OWNER,
        "        slot.pins[waiting.req.attempt_id] = waiting.session",
        "        pass",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "order sent without a look at the lease",
        _LOADER,
        "        epoch = self._may_act()\n        address = self._address()\n        if epoch",
        "        epoch = self._may_act() or 1\n        address = self._address()\n        if epoch",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "tickets of dead gateways pin for ever",
        _OWNER,
        "                        del slot.pins[attempt_id]",
        "                        pass",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "no turn for a cold adapter",
        _OWNER,
        "                self._close_one(waiting, now_ms)",
        "                pass",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "owner goes on while it leaves",
        _AGENT,
        _LEASE,
        "        if self._clock.now_ms() >= self._lease_until_ms:",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "owner goes on when its lease is over",
        _AGENT,
        _LEASE,
        "        if self.leaving:",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "engine moves although its owner acts",
        "chestnutfall/control/leader_duties.py",
        "        if owner is None or self._sessions.is_over(owner, now_ms):",
        "        if True:",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "leaving engine gets work",
        _UPSTREAM,
        _SERVING_STATE,
        "        return heard",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "silent engine gets work",
        _UPSTREAM,
        _SERVING_STATE,
        '        return self.announcement.state == "serving"',
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "non-idempotent request repeated",
        _DISPATCHER,
        "                if started or req.non_idempotent:",
        "                if started:",
        _FAULTS_TEST,
    ),
    Mutant(
        "not run said of a broken attempt",
        _DISPATCHER,
        "                executed = Executed.YES if started else Executed.UNKNOWN",
        "                executed = Executed.YES if started else Executed.NO",
        _FAULTS_TEST,
    ),
    Mutant(
        "caller that leaves keeps its place",
        _DISPATCHER,
        "            if not gate.whole:\n                self._cancel(engine, req.attempt_id)",
        "            pass",
        _FAULTS_TEST,
    ),
    Mutant(
        "model in the answer not checked",
        _CHECKS,
        "        if answered_model != self._model:",
        "        if False:",
        _FAULTS_TEST,
    ),
    Mutant(
        "another request's answer not noticed",
        _CHECKS,
        "                if self._id_mark not in event.data:",
        "                if False:",
        _FAULTS_TEST,
    ),
    Mutant(
        "events passed on twice",
        _CHECKS,
        "            if event.number and event.number <= self.seen:",
        "            if False:",
        _FAULTS_TEST,
    ),
    Mutant(
        "missing event not noticed",
        _CHECKS,
        "            if event.number and event.number != self.seen + 1:",
        "            if False:",
        _FAULTS_TEST,
    ),
    Mutant(
        "short answer looks whole",
        _CHECKS,
        "        if self.whole:\n            return None",
        "        if self.seen:\n            self.whole = True\n            return None",
        _FAULTS_TEST,
    ),
    Mutant(
        "older revision applied",
        _AGENT,
        "        if reply.revision < self.revision:",
        "        if False:",
        _CONFIG_TEST,
    ),
    Mutant(
        "served without a confirmed configuration",
        _AGENT,
        "        if self._confirmed_ms is None:\n            return False",
        "        if self._confirmed_ms is None:\n            return True",
        _CONFIG_TEST,
    ),
    Mutant(
        "served when the configuration's lease is over",
        _AGENT,
        "        return self._clock.now_ms() < self._confirmed_ms + self._config_lease_ms",
        "        return True",
        _CONFIG_TEST,
    ),
    Mutant(
        "wrong content not found by its digest",
        _SERVICE,
        "        if behind == 0 and msg.digest == site.digest:",
        "        if behind == 0:",
        _CONFIG_TEST,
    ),
    Mutant(
        "accepted digest changed",
        "chestnutfall/config/validation.py",
        "    findings.extend(_kept_digests(site, entries, before, places))",
        "    pass",
        _CONFIG_TEST,
    ),
    Mutant(
        "claim not released when its answer was lost",
        _CLAIMS,
        "            self.end(wanted, None)",
        "            pass",
        _ONCE_TEST,
    ),
    Mutant(
        "claim not released when nothing ran",
        _CLAIMS,
        "            if refusal.executed is Executed.NO:\n                status = None",
        "            pass",
        _ONCE_TEST,
    ),
    Mutant(
        "dead gateway's run called running",
        _SERVICE,
        "            if claim.status is ClaimStatus.RUNNING and self._duties.is_over(",
        "            if False and self._duties.is_over(",
        _ONCE_TEST,
    ),
    Mutant(
        "changed body not noticed",
        _CLAIMS,
        "    if not same_body:",
        "    if False:",
        _ONCE_TEST,
    ),
    Mutant(
        "refused load tried again at once",
        _OWNER,
        "            self._no_loads_before_ms = now_ms + REFRESH_MS",
        "            pass",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "late report taken for news",
        _OWNER,
        "        if asked_ms > self._changed_ms:",
        "        if True:",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "drain does not wait for requests",
        "chestnutfall/programs/gateway.py",
        "        while self._app.in_progress:",
        "        while False:",
        "chestnutfall.tests.test_processes.DrainTest",
    ),
    Mutant(
        "lost disk comes back under its old identity",
        "chestnutfall/programs/controller.py",
        "    elif storage.is_empty:",
        "    elif False:",
        "chestnutfall.tests.test_processes.ControllersTest",
    ),
    Mutant(
        "what refers to a changed entry not looked at",
        "chestnutfall/config/validation.py",
        "    for section, name in _with_referrers(entries, places):",
        "    for section, name in places:",
        _CONFIG_TEST,
    ),
    Mutant(
        "claims forgotten early",
        "chestnutfall/control/leader_duties.py",
        "            await self._commit(AdvanceTime(passed_ms))",
        "            await self._commit(AdvanceTime(2 * passed_ms))",
        _ONCE_TEST,
    ),
    Mutant(
        "new leader starts with a full budget",
        "chestnutfall/control/load_budget.py",
        "        self._tokens = 0.0",
        "        self._tokens = 1.0",
        "properties.test_load_budget",
    ),
    Mutant(
        "budget saved up while idle",
        "chestnutfall/control/load_budget.py",
        "        self._tokens = min(self._tokens, MAX_TOKENS)",
        "        pass",
        "properties.test_load_budget",
    ),
    Mutant(
        "refused repeat hides a broken attempt",
        _DISPATCHER,
        "                raise _as_executed(refusal, executed) from refusal",
        "                raise",
        _FAULTS_TEST,
    ),
)
