"""Mutants of the safeguards of the controllers' decisions and of the configuration."""

from __future__ import annotations

from ..mutant import Mutant

_STATE = "chestnutfall/control/control_state.py"
_CLAIMS = "chestnutfall/control/claim_table.py"
_STATE_TEST = "properties.test_control_state"
_SERVICE = "chestnutfall/control/control_service.py"
_OWNERSHIP_TEST = "chestnutfall.tests.test_ownership"
_CONFIG_TEST = "chestnutfall.tests.test_configuration_in_force"
_ONCE_TEST = "chestnutfall.tests.test_at_most_once"

CONTROL_MUTANTS = (
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
        _CLAIMS,
        "        if claim is not None and claim.attempt_id != take.attempt_id:",
        "        if False:",
        _STATE_TEST,
    ),
    Mutant(
        "another attempt releases the claim",
        _CLAIMS,
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
        "engine moves although its owner acts",
        "chestnutfall/control/leader_duties.py",
        "        if owner is None or self._sessions.has_expired(owner, now_ms):",
        "        if True:",
        _OWNERSHIP_TEST,
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
        "    findings.extend(_changed_digest_findings(site, entries, before, keys))",
        "    pass",
        _CONFIG_TEST,
    ),
    Mutant(
        "dead gateway's run called running",
        _SERVICE,
        "            if claim.status is ClaimStatus.RUNNING and self._duties.has_expired(",
        "            if False and self._duties.has_expired(",
        _ONCE_TEST,
    ),
    Mutant(
        "what refers to a changed entry not looked at",
        "chestnutfall/config/validation.py",
        "    for section, name in _with_referrers(entries, keys):",
        "    for section, name in keys:",
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
        "TokenBucket(0.0, MAX_TOKENS, 0.0, clock.now_ms())",
        "TokenBucket(0.0, MAX_TOKENS, MAX_TOKENS, clock.now_ms())",
        "properties.test_load_budget",
    ),
    Mutant(
        "budget saved up while idle",
        "chestnutfall/control/load_budget.py",
        "TokenBucket(0.0, MAX_TOKENS, 0.0, clock.now_ms())",
        "TokenBucket(0.0, 1_000.0, 0.0, clock.now_ms())",
        "properties.test_load_budget",
    ),
    Mutant(
        "a restart under the same name is the life before",
        "chestnutfall/control/upstream_record.py",
        '    return f"{name}~{started_ms}" if started_ms else name',
        "    return name",
        "chestnutfall.tests.test_fleet_leader",
    ),
    Mutant(
        "an entry that can't be read ends each replica",
        "chestnutfall/control/control_state.py",
        "            return Done()\n        outcome = self._apply(index, command)",
        "            raise\n        outcome = self._apply(index, command)",
        "chestnutfall.tests.test_unreadable_entries.UnreadableEntriesTest."
        "test_a_group_goes_on_behind_them_and_starts_with_them",
    ),
    Mutant(
        "a command of a later release is passed over",
        "chestnutfall/control/control_state.py",
        "        except UnknownMessage:",
        "        except ZeroDivisionError:",
        "properties.test_control_state.UnreadableEntriesTest."
        "test_a_command_of_a_later_release_ends_the_replica",
    ),
    Mutant(
        "a command that can't be read back is proposed",
        "chestnutfall/control/commands.py",
        "        COMMAND_CODEC.decode(data)\n",
        "        pass\n",
        "chestnutfall.tests.test_encoded_commands.EncodeCommandTest."
        "test_a_command_that_could_not_be_read_back_is_not_encoded",
    ),
)
