"""Mutants of the safeguards for limits that upstreams declare."""

from __future__ import annotations

from ..mutant import Mutant

_PARTS_TEST = "chestnutfall.tests.test_limit_parts"
_TOGETHER_TEST = "chestnutfall.tests.test_limits_together.LimitsTogetherTest"
_COMPLETIONS_TEST = "chestnutfall.tests.test_limited_completions"

LIMIT_MUTANTS = (
    Mutant(
        "the answer that came last holds",
        "chestnutfall/limits/latest_limit.py",
        "        overlaps = sent_ms < self.received_ms",
        "        overlaps = False",
        _PARTS_TEST,
    ),
    Mutant(
        "what was heard long ago is taken for new",
        "chestnutfall/limits/latest_limit.py",
        "        if self.sent_ms > received_ms:",
        "        if False:",
        _PARTS_TEST,
    ),
    Mutant(
        "a new limit begins with a full burst",
        "chestnutfall/limits/upstream_limit.py",
        "TokenBucket(per_s, size, level, now_ms)",
        "TokenBucket(per_s, size, size, now_ms)",
        _PARTS_TEST,
    ),
    Mutant(
        "a lower limit begins with what the higher one left",
        "chestnutfall/limits/upstream_limit.py",
        "        if falls:",
        "        if False:",
        _PARTS_TEST,
    ),
    Mutant(
        "an upstream that takes nothing is never asked again",
        "chestnutfall/limits/upstream_limit.py",
        "MIN_PER_S = 0.2",
        "MIN_PER_S = 1e-9",
        f"{_TOGETHER_TEST}.test_an_upstream_that_took_nothing_is_found_when_it_takes_work_again",
    ),
    Mutant(
        "calls that wait for an engine's load keep their place when it names a limit",
        "chestnutfall/placement/placer.py",
        "            self._assignments.clear(waiting)\n\n    def order_failed",
        "            pass\n\n    def order_failed",
        "chestnutfall.tests.test_limited_placement",
    ),
    Mutant(
        "calls are kept for engines that take none soon",
        "chestnutfall/placement/engine_selector.py",
        "not engine.has_room(req) or engine.send_wait_ms(self._now_ms):",
        "not engine.has_room(req):",
        f"{_TOGETHER_TEST}.test_any_number_of_gateways_keeps_a_limit_and_uses_it",
    ),
    Mutant(
        "a new leader is not told of limits",
        "chestnutfall/limits/known_limits.py",
        "        return tuple("
        "_as_report(name, latest, now_ms) for name, latest in self._latest.items())",
        "        return ()",
        f"{_TOGETHER_TEST}.test_leaders_that_change_while_answers_are_slow",
    ),
    Mutant(
        "gateways without a leader send as they like",
        "chestnutfall/limits/known_limits.py",
        "        return per_s is None or self._leaderless.try_send(instance, per_s)",
        "        return True",
        f"{_TOGETHER_TEST}.test_gateways_without_a_leader_keep_a_limit_together",
    ),
    Mutant(
        "each gateway without a leader has the whole limit",
        "chestnutfall/limits/leaderless_limits.py",
        "self._fraction * max(per_s, MIN_PER_S) / max(self._gateways(), 1)",
        "max(per_s, MIN_PER_S)",
        f"{_TOGETHER_TEST}.test_gateways_that_are_cut_off_keep_a_limit_with_the_others",
    ),
    Mutant(
        "a gateway that missed the end of a limit is not told",
        "chestnutfall/coordination/limit_coordinator.py",
        "        if holds_per_s is None and report.per_s is not None:",
        "        if False:",
        "chestnutfall.tests.test_limit_coordinator",
    ),
    Mutant(
        "limits are not told to other gateways",
        "chestnutfall/coordination/limit_coordinator.py",
        "            self._sessions.broadcast(LimitsInForce(tuple(changed), tuple(ended)))",
        "            pass",
        "chestnutfall.tests.test_limit_coordinator",
    ),
    Mutant(
        "plain upstreams are chosen without a turn",
        "chestnutfall/forwarding/plain_upstream_selector.py",
        "        elif self._signals.limits.per_s(chosen.instance) is not None:",
        "        elif False:",
        f"{_TOGETHER_TEST}.test_any_number_of_gateways_keeps_a_limit_and_uses_it",
    ),
    Mutant(
        "turns go by arrival, whosever calls they are",
        "chestnutfall/forwarding/leader_turn_client.py",
        "        criteria.organisation,\n",
        '        "",\n',
        f"{_TOGETHER_TEST}.test_organisations_share_what_limited_upstreams_allow",
    ),
    Mutant(
        "what was granted lately tells how fast limited engines go on",
        "chestnutfall/placement/service_round.py",
        "        interval_ms = max(interval_ms, self.limit_interval_ms or 0.0)\n",
        "",
        "chestnutfall.tests.test_limited_placement",
    ),
    Mutant(
        "owners give tickets without regard to the limit",
        "chestnutfall/ownership/ticket_decisions.py",
        "        if send_limit.wait_ms(0):\n            return\n",
        "",
        _COMPLETIONS_TEST,
    ),
    Mutant(
        "the next owner is not told of the limit",
        "chestnutfall/ownership/engine_owner.py",
        "        if req.limit is not None:",
        "        if False:",
        _COMPLETIONS_TEST,
    ),
    Mutant(
        "runs that are resumed come on top of the limit",
        "chestnutfall/routing/engine_runs.py",
        "                    self._links.report_resume(engine.name)\n",
        "",
        _COMPLETIONS_TEST,
    ),
    Mutant(
        "moments are forgotten only when they are counted",
        "chestnutfall/clock/sliding_window.py",
        "        self._drop_expired(now_ms)\n        self._event_times_ms.append(now_ms)",
        "        self._event_times_ms.append(now_ms)",
        _PARTS_TEST,
    ),
    Mutant(
        "plain services are called by turns whatever they take",
        "chestnutfall/plain_edge/plain_proxy.py",
        "            if self._signals.limits.may_send_without_leader(up.instance):",
        "            if True:",
        "chestnutfall.tests.test_plain_proxy",
    ),
)
