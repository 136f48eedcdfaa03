"""Mutants of the safeguards of requests with the OpenAI API, from the caller to the engine."""

from __future__ import annotations

from ..mutant import Mutant

_LOADS = "chestnutfall/ownership/slot_loads.py"
_DECISIONS = "chestnutfall/ownership/ticket_decisions.py"
_SLOTS = "chestnutfall/ownership/engine_slots.py"
_LOADER = "chestnutfall/ownership/adapter_loader.py"
_DISPATCHER = "chestnutfall/routing/dispatcher.py"
_RUNS = "chestnutfall/routing/engine_runs.py"
_VALIDATOR = "chestnutfall/engine_edge/answer_validator.py"
_AGENT = "chestnutfall/membership/gateway_agent.py"
_UPSTREAM = "chestnutfall/membership/upstream.py"
_CLAIMS = "chestnutfall/routing/claim_client.py"
_FAULTS_TEST = "chestnutfall.tests.test_request_faults"
_OWNERSHIP_TEST = "chestnutfall.tests.test_ownership"
_CONFIG_TEST = "chestnutfall.tests.test_configuration_in_force"
_ONCE_TEST = "chestnutfall.tests.test_at_most_once"
_LEASE_CHECK = "        if self.leaving or self._clock.now_ms() >= self._lease_until_ms:"
_SERVING_STATE = '        return is_current and self.announcement.state == "serving"'

CALLER_MUTANTS = (
    Mutant(
        "eviction without asking the engine",
        _LOADER,
        "        if victim.adapter in state.running.values() or victim.pins:",
        "        if victim.pins:",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "ticket does not pin",
        _DECISIONS,
        "        slot.pins[waiting.req.attempt_id] = waiting.session",
        "        pass",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "order sent without a look at the lease",
        _LOADER,
        "        epoch = self._current_epoch()\n"
        "        address = self._address()\n"
        "        if epoch",
        "        epoch = self._current_epoch() or 1\n"
        "        address = self._address()\n"
        "        if epoch",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "tickets of dead gateways pin for ever",
        _SLOTS,
        "                        del slot.pins[attempt_id]",
        "                        pass",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "no turn for a cold adapter",
        _LOADS,
        "                self._drain_one_slot(waiting, now_ms)",
        "                pass",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "owner goes on while it leaves",
        _AGENT,
        _LEASE_CHECK,
        "        if self._clock.now_ms() >= self._lease_until_ms:",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "owner goes on when its lease is over",
        _AGENT,
        _LEASE_CHECK,
        "        if self.leaving:",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "leaving engine gets work",
        _UPSTREAM,
        _SERVING_STATE,
        "        return is_current",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "silent engine gets work",
        _UPSTREAM,
        _SERVING_STATE,
        '        return self.announcement.state == "serving"',
        "chestnutfall.tests.test_upstream_registry",
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
        _RUNS,
        "            if not validator.whole:\n                self._cancel(engine, req.attempt_id)",
        "            pass",
        _FAULTS_TEST,
    ),
    Mutant(
        "model in the answer not checked",
        _VALIDATOR,
        "        if answered_model != self._model:",
        "        if False:",
        _FAULTS_TEST,
    ),
    Mutant(
        "another request's answer not noticed",
        _VALIDATOR,
        "                if self._attempt_id_bytes not in event.data:",
        "                if False:",
        _FAULTS_TEST,
    ),
    Mutant(
        "events passed on twice",
        _VALIDATOR,
        "            if event.number and event.number <= self.last_number:",
        "            if False:",
        _FAULTS_TEST,
    ),
    Mutant(
        "missing event not noticed",
        _VALIDATOR,
        "            if event.number and event.number != self.last_number + 1:",
        "            if False:",
        _FAULTS_TEST,
    ),
    Mutant(
        "short answer looks whole",
        _VALIDATOR,
        "        if self.whole:\n            return None",
        "        if self.last_number:\n            self.whole = True\n            return None",
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
        "claim not released when its answer was lost",
        _CLAIMS,
        "            self.end(req, None)",
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
        "changed body not noticed",
        _CLAIMS,
        "    if not same_body:",
        "    if False:",
        _ONCE_TEST,
    ),
    Mutant(
        "refused load tried again at once",
        _LOADS,
        "            self._no_loads_before_ms = now_ms + REFRESH_MS",
        "            pass",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "late report taken for news",
        _SLOTS,
        "        if asked_ms > self._changed_ms:",
        "        if True:",
        _OWNERSHIP_TEST,
    ),
    Mutant(
        "drain does not wait for requests",
        "chestnutfall/programs/gateway.py",
        "        while self._app.in_progress or self._helper.in_progress:",
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
        "refused repeat hides a broken attempt",
        _DISPATCHER,
        "                raise _with_executed(refusal, executed) from refusal",
        "                raise",
        _FAULTS_TEST,
    ),
)
