"""Mutants of the safeguards for upstream signals, at each path that sends and each use of them."""

from __future__ import annotations

from ..mutant import Mutant

_CHECK_TEST = "chestnutfall.tests.test_last_check.LastCheckTest"
_PARTS_TEST = "chestnutfall.tests.test_backoff_parts"
_READ_TEST = "chestnutfall.tests.test_signals"
_PLACEMENT_TEST = "chestnutfall.tests.test_backoff_placement.BackoffPlacementTest"
_TOGETHER_TEST = "chestnutfall.tests.test_backoff_together.BackoffTogetherTest"
_LEAVING_TEST = "chestnutfall.tests.test_leaving_together.LeavingTogetherTest"
_COMPLETIONS_TEST = "chestnutfall.tests.test_backoff_completions.BackoffCompletionTest"
_PLAIN_TEST = "chestnutfall.tests.test_plain_proxy.PlainProxyTest"

_SENDER = "chestnutfall/forwarding/sender.py"
_SENDER_CHECK = "        may_send = self._signals.may_send(place.upstream.instance)\n"

PATH_MUTANTS = (
    Mutant(
        "a first send is not checked",
        _SENDER,
        _SENDER_CHECK,
        "        may_send = True\n",
        f"{_CHECK_TEST}.test_a_first_send_goes_elsewhere_without_a_repeat",
    ),
    Mutant(
        "a repeat is not checked",
        _SENDER,
        _SENDER_CHECK,
        "        may_send = progress.sends > 1 or self._signals.may_send("
        "place.upstream.instance)\n",
        f"{_CHECK_TEST}.test_a_repeat_goes_elsewhere_and_counts_once",
    ),
    Mutant(
        "a resumed run is not checked",
        _SENDER,
        _SENDER_CHECK,
        "        may_send = progress.started or self._signals.may_send(place.upstream.instance)\n",
        f"{_CHECK_TEST}.test_a_run_is_resumed_elsewhere",
    ),
    Mutant(
        "places from memory are on engines that want nothing",
        "chestnutfall/forwarding/engine_upstream_selector.py",
        "            and self._signals.may_send(held.instance)\n",
        "",
        "chestnutfall.tests.test_upstream_selectors.EngineUpstreamSelectorTest"
        ".test_without_a_leader_an_engine_that_backs_off_is_not_selected",
    ),
    Mutant(
        "plain upstreams that want nothing are chosen",
        "chestnutfall/forwarding/plain_upstream_selector.py",
        "accepting = [one for one in upstreams if self._signals.may_send(one.instance)]",
        "accepting = list(upstreams)",
        f"{_TOGETHER_TEST}.test_one_call_meets_several_upstreams_that_ask_for_backoff",
    ),
    Mutant(
        "turns are given at upstreams that want nothing from that gateway",
        "chestnutfall/limits/turn_round.py",
        "        if not self._may_send(call.gateway, instance):",
        "        if False:",
        f"{_TOGETHER_TEST}.test_grants_at_limited_upstreams_skip_gateways_asked_for_backoff",
    ),
    Mutant(
        "a ticket in hand is not checked",
        "chestnutfall/routing/attempts.py",
        "        while not self._signals.may_send(engine.instance):",
        "        while False:",
        f"{_COMPLETIONS_TEST}.test_a_ticket_in_hand_is_not_used_when_its_engine_asked_for_time",
    ),
    Mutant(
        "engines that want nothing are asked for tickets",
        "chestnutfall/routing/tickets.py",
        "(one for one in serving if self._signals.may_send(one.instance)),",
        "serving,",
        f"{_COMPLETIONS_TEST}"
        ".test_an_engine_that_leaves_is_not_asked_for_whatever_its_owner_knows",
    ),
    Mutant(
        "a resumed run does not wait for the end of the time",
        "chestnutfall/routing/engine_runs.py",
        "        return max(left_ms, losses.wait_ms)",
        "        return losses.wait_ms",
        f"{_COMPLETIONS_TEST}.test_a_run_is_resumed_when_the_time_is_over",
    ),
    Mutant(
        "a run is given up for a backoff that its caller would wait for",
        "chestnutfall/routing/engine_runs.py",
        "        if left_ms > max(losses.heard_ms + req.begin_ms - self._clock.now_ms(), 0):",
        "        if left_ms > req.silent_ms:",
        f"{_COMPLETIONS_TEST}.test_a_run_is_resumed_after_a_time_longer_than_a_silence",
    ),
    Mutant(
        "a stream waits for a backoff beyond its deadline",
        "chestnutfall/routing/engine_runs.py",
        "        if left_ms > max(losses.heard_ms + req.begin_ms - self._clock.now_ms(), 0):",
        "        if False:",
        f"{_COMPLETIONS_TEST}.test_a_run_is_given_up_for_a_time_beyond_its_deadline",
    ),
    Mutant(
        "a run at an engine that leaves is given up",
        "chestnutfall/routing/engine_runs.py",
        "        if math.isinf(left_ms):",
        "        if False:",
        f"{_COMPLETIONS_TEST}.test_a_run_is_resumed_at_an_engine_that_leaves",
    ),
    Mutant(
        "plain services that want nothing get calls",
        "chestnutfall/plain_edge/plain_proxy.py",
        "sendable = [up for up in untried if self._signals.may_send(up.instance)]",
        "sendable = untried",
        f"{_PLAIN_TEST}.test_an_upstream_that_asks_for_backoff_gets_it_and_callers_lose_nothing",
    ),
)

KNOWLEDGE_MUTANTS = (
    Mutant(
        "the time that was asked for last holds",
        "chestnutfall/signals/known_backoffs.py",
        "        if until_ms <= self._until_ms.get(instance, self._clock.now_ms()):",
        "        if until_ms <= self._clock.now_ms():",
        f"{_PARTS_TEST}.KnownBackoffsTest.test_the_latest_end_of_several_backoffs_holds",
    ),
    Mutant(
        "a word is kept by the upstream's address",
        "chestnutfall/forwarding/sender.py",
        "        if answer.not_run is not NotRun.REPLACED:",
        "        if True:",
        f"{_CHECK_TEST}.test_signals_of_another_incarnation_are_ignored",
    ),
    Mutant(
        "upstreams that left are remembered for ever",
        "chestnutfall/signals/known_backoffs.py",
        "    if len(held) > MAX_BACKOFFS:",
        "    if False:",
        f"{_PARTS_TEST}.KnownBackoffsTest.test_memory_is_bounded",
    ),
    Mutant(
        "any Retry-After is taken for a wish of the upstream",
        "chestnutfall/signals/backoff_signal.py",
        "    if text is None or status not in BACKOFF_STATUSES:",
        "    if text is None:",
        f"{_READ_TEST}.ReadBackoffTest.test_429_asks_for_backoff_as_503_does_and_other_statuses_do_not",
    ),
    Mutant(
        "a slip of units takes an upstream away for good",
        "chestnutfall/signals/backoff_signal.py",
        "math.ceil(min(seconds * 1000, MAX_BACKOFF_MS))",
        "math.ceil(seconds * 1000)",
        f"{_READ_TEST}.ReadBackoffTest.test_more_than_a_day_is_a_day",
    ),
    Mutant(
        "names of headers that nobody reads are kept without a bound",
        "chestnutfall/signals/unread_headers.py",
        "        elif len(self._logged) >= MAX_NAMES:",
        "        elif False:",
        f"{_READ_TEST}.UnreadHeadersTest.test_names_are_bounded_in_number_and_length",
    ),
    Mutant(
        "a new leader is not told what was heard before it",
        "chestnutfall/signals/known_signals.py",
        "            *self.backoffs.reports_for_new_leader(),\n",
        "",
        f"{_LEAVING_TEST}.test_each_new_leader_gets_the_reports",
    ),
    Mutant(
        "an announcement takes back that an upstream leaves",
        "chestnutfall/membership/upstream_registry.py",
        '    return replace(announcement, state="leaving")',
        "    return announcement",
        f"{_PLAIN_TEST}.test_an_upstream_that_announced_that_it_leaves_leaves_for_good",
    ),
)

DECISION_MUTANTS = (
    Mutant(
        "the leader places on engines that want nothing from that gateway",
        "chestnutfall/placement/engine_selector.py",
        "        return self._backoffs.may_send(req, engine)",
        "        return True",
        f"{_PLACEMENT_TEST}.test_a_gateway_that_was_asked_waits_rather_than_goes_there",
    ),
    Mutant(
        "calls that wait for a load keep an engine that asked for time",
        "chestnutfall/placement/stale_assignment.py",
        "    if backoff.is_active(now_ms) and backoff.wait_ms(waiting.req.gateway, now_ms):\n",
        "    if False:\n",
        f"{_PLACEMENT_TEST}.test_who_waits_for_a_load_there_is_placed_anew",
    ),
    Mutant(
        "an upstream that turns one gateway away is as good as any for the others",
        "chestnutfall/signals/upstream_backoff.py",
        "        return now_ms < self._probably_rejects_until_ms",
        "        return False",
        f"{_PLACEMENT_TEST}.test_others_prefer_other_engines_and_try_it_now_and_then",
    ),
    Mutant(
        "a try that was served frees nobody",
        "chestnutfall/signals/upstream_backoff.py",
        "        if ticket == self._probe and not math.isinf(self._probably_rejects_until_ms):",
        "        if False:",
        f"{_PARTS_TEST}.UpstreamBackoffTest.test_a_served_probe_ends_the_wait_of_the_others",
    ),
    Mutant(
        "all come back in the moment at which the time is over",
        "chestnutfall/signals/upstream_backoff.py",
        "        return max(due_ms - since_ms, 0.0)",
        "        return 0.0",
        f"{_PARTS_TEST}.UpstreamBackoffTest.test_the_allowed_sends_double_after_a_backoff",
    ),
    Mutant(
        "callers who were refused come back in one moment",
        "chestnutfall/signals/retry_spread.py",
        "        return math.ceil(free_ms + spread_ms * (series.count * _GOLDEN_RATIO % 1))",
        "        return math.ceil(free_ms)",
        f"{_PARTS_TEST}.RetrySpreadTest.test_retry_times_are_spread_after_the_end_of_a_backoff",
    ),
    Mutant(
        "callers wait for engines that want nothing",
        "chestnutfall/placement/refusals.py",
        "        if backoff_ms and not service_round.selector",
        "        if False and not service_round.selector",
        f"{_TOGETHER_TEST}.test_when_all_upstreams_back_off_callers_get_a_retry_time_at_once",
    ),
    Mutant(
        "a refusal that asks for time is taken for a load that takes longer",
        "chestnutfall/forwarding/sender.py",
        "        return RunOutcome.TURNED_AWAY\n",
        "        return RunOutcome.FULL\n",
        f"{_CHECK_TEST}.test_a_call_that_one_upstream_turns_away_goes_to_another",
    ),
    Mutant(
        "a repeat that found no place is spent",
        "chestnutfall/forwarding/forwarder.py",
        "        if progress.holds_repeat:",
        "        if False:",
        f"{_CHECK_TEST}.test_a_repeat_that_found_no_place_is_given_back",
    ),
    Mutant(
        "copies are taken for fast whatever engines do",
        "chestnutfall/placement/copy_speed.py",
        "        return self._fast_share >= MIN_FAST_SHARE",
        "        return True",
        "chestnutfall.tests.test_load_time_estimate.CopySpeedTest",
    ),
)

SIGNAL_MUTANTS = (*PATH_MUTANTS, *KNOWLEDGE_MUTANTS, *DECISION_MUTANTS)
