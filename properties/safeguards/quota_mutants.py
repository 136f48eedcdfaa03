"""Mutants of the safeguards for keys and quotas, and for how gateways learn of upstreams."""

from __future__ import annotations

from ..mutant import Mutant

_QUOTAS_TEST = "chestnutfall.tests.test_quotas"
_ORGANISATIONS_TEST = "chestnutfall.tests.test_organisations"
_DISSEMINATION_TEST = "chestnutfall.tests.test_dissemination"

QUOTA_MUTANTS = (
    Mutant(
        "what passed is never told",
        "chestnutfall/quota/quota_enforcer.py",
        "            self._client.report_use(UsedQuota(uses))",
        "            pass",
        _QUOTAS_TEST,
    ),
    Mutant(
        "each new leader begins with a full burst",
        "chestnutfall/quota/quota_ledger.py",
        "        level = START_FRACTION * self._bounds.spare(organisation.quota)",
        "        level = size",
        _QUOTAS_TEST,
    ),
    Mutant(
        "a new leader is not told who was short",
        "chestnutfall/quota/quota_ledger.py",
        "        if now_ms > self._started_ms + SHORT_REPORTS_MS:",
        "        if True:",
        _QUOTAS_TEST,
    ),
    Mutant(
        "without a leader everything passes",
        "chestnutfall/quota/leaderless_share.py",
        "        if self._rng.random() * units >= bucket.level(now_ms):",
        "        if False:",
        _QUOTAS_TEST,
    ),
    Mutant(
        "cut off for long, a gateway goes on at its old pace",
        "chestnutfall/quota/leaderless_share.py",
        "        if now_ms >= lost_ms + KEEP_RATE_MS:",
        "        if False:",
        _QUOTAS_TEST,
    ),
    Mutant(
        "all that are refused come back at one moment",
        "chestnutfall/quota/retry_schedule.py",
        "start_ms + int(step_ms)",
        "start_ms",
        _QUOTAS_TEST,
    ),
    Mutant(
        "a request larger than the burst never passes",
        "chestnutfall/quota/quota_ledger.py",
        "        if bucket.level(now_ms) >= min(units, bucket.size):",
        "        if bucket.level(now_ms) >= units:",
        _QUOTAS_TEST,
    ),
    Mutant(
        "what never ran stays charged",
        "chestnutfall/forwarding/forwarder.py",
        "            if not progress.may_have_run:",
        "            if False:",
        _ORGANISATIONS_TEST,
    ),
    Mutant(
        "an unknown key opens everything",
        "chestnutfall/forwarding/admission.py",
        "        if organisation is None and table.needs_key(route):",
        "        if False:",
        _ORGANISATIONS_TEST,
    ),
    Mutant(
        "the key goes on to upstreams",
        "chestnutfall/platform/header_names.py",
        "        KEY,\n        ORGANISATION,\n",
        "        ORGANISATION,\n",
        _ORGANISATIONS_TEST,
    ),
    Mutant(
        "two organisations may share a key",
        "chestnutfall/routes/document_check.py",
        "            if holder != name:",
        "            if False:",
        _ORGANISATIONS_TEST,
    ),
    Mutant(
        "a gateway forgets its upstreams while it is told them anew",
        "chestnutfall/forwarding/known_upstreams.py",
        "                    self._incoming = {}\n",
        "                    self._incoming = {}\n                    self._current = {}\n",
        _DISSEMINATION_TEST,
    ),
    Mutant(
        "bulk goes before what is urgent",
        "chestnutfall/coordination/gateway_session.py",
        "        if wait_ms > 0 or not self.out.empty():",
        "        if wait_ms > 0:",
        _DISSEMINATION_TEST,
    ),
    Mutant(
        "a controller that is cut off answers heartbeats",
        "chestnutfall/coordination/heartbeat_batch.py",
        "        if not has_leader_contact or not is_known or msg.record.leaving:",
        "        if not is_known or msg.record.leaving:",
        "chestnutfall.tests.test_heartbeat_batch",
    ),
    Mutant(
        "organisations are served in order of arrival",
        "chestnutfall/placement/waiting_request.py",
        "        return not in_time, self.req.rank, self.tag, self.since_ms",
        "        return not in_time, self.req.rank, self.since_ms",
        "chestnutfall.tests.test_fair_share",
    ),
    Mutant(
        "a load that has just begun is not found again",
        "chestnutfall/placement/assignments.py",
        "            self._table.index.add(req.adapter, engine.instance)\n",
        "            pass\n",
        "chestnutfall.tests.test_candidate_engines",
    ),
)
