"""Mutants of the safeguards of the placement of requests and adapters."""

from __future__ import annotations

from ..mutant import Mutant

_SELECTOR_TEST = "chestnutfall.tests.test_engine_selector"
_PREFILL_TEST = "chestnutfall.tests.test_prefill"
_CLASSES_TEST = "chestnutfall.tests.test_request_classes"

PLACEMENT_MUTANTS = (
    Mutant(
        "no wait for a copy",
        "chestnutfall/placement/engine_selector.py",
        "        if held is None and loaded is not None and self._may_wait(",
        "        if False and loaded is not None and self._may_wait(",
        _SELECTOR_TEST,
    ),
    Mutant(
        "first come first served, late or not",
        "chestnutfall/placement/waiting_request.py",
        "        return not in_time, self.req.rank, self.tag, self.since_ms",
        "        return False, self.req.rank, self.tag, self.since_ms",
        _SELECTOR_TEST,
    ),
    Mutant(
        "shunned at the first failed connection",
        "chestnutfall/placement/reachability.py",
        "        if self._confirmed >= FAILURES_TO_EJECT:",
        "        if self._confirmed:",
        _SELECTOR_TEST,
    ),
    Mutant(
        "what a round gave an engine is not counted in it",
        "chestnutfall/placement/placer.py",
        "            self._rounds.refresh(option.engine)\n",
        "",
        _SELECTOR_TEST,
    ),
    Mutant(
        "late requests judged by the pace of others",
        "chestnutfall/placement/placement_rate.py",
        "        return _interval_ms(self._late.get(service), share",
        "        return _interval_ms(self._in_time.get(service), share",
        "chestnutfall.tests.test_placement_rate",
    ),
    Mutant(
        "pace of a new leader counted over the whole window",
        "chestnutfall/placement/placement_rate.py",
        "        span_ms = min(max(now_ms - self._since_ms, MIN_SPAN_MS), WINDOW_MS)",
        "        span_ms = WINDOW_MS",
        "chestnutfall.tests.test_placement_rate",
    ),
    Mutant(
        "reading is not paced",
        "chestnutfall/placement/prefill_schedule.py",
        "        return before_ms <= 0 or before_ms + prefill_ms <= window.budget_ms",
        "        return True",
        _PREFILL_TEST,
    ),
    Mutant(
        "short prompts pass long ones by",
        "chestnutfall/placement/prefill_turns.py",
        "        self._full.add(engine.instance)\n",
        "",
        _PREFILL_TEST,
    ),
    Mutant(
        "prompts whose adapters load take the reading of others",
        "chestnutfall/placement/engine.py",
        "        return held is None or held.is_ready(now_ms)",
        "        return True",
        _PREFILL_TEST,
    ),
    Mutant(
        "the pace of reading is not learned",
        "chestnutfall/placement/prefill_speed.py",
        "        self.ms_per_token = min(max(slope, MIN_MS_PER_TOKEN), MAX_MS_PER_TOKEN)\n",
        "",
        _PREFILL_TEST,
    ),
    Mutant(
        "slow engines read like others",
        "chestnutfall/placement/prefill_schedule.py",
        "        return self._speed.ms_per_token * self._own.usual_factor",
        "        return self._speed.ms_per_token",
        _PREFILL_TEST,
    ),
    Mutant(
        "no place is kept for stray orders",
        "chestnutfall/placement/engine.py",
        "        if self.has_stray_order and len(self.holdings) >= self.spec.adapter_slots:",
        "        if False:",
        "chestnutfall.tests.test_engine_orders",
    ),
    Mutant(
        "one late engine delays the loads of all",
        "chestnutfall/placement/load_floor.py",
        "MIN_ENGINES = 2",
        "MIN_ENGINES = 1",
        "chestnutfall.tests.test_load_time_estimate",
    ),
    Mutant(
        "each engine learns alone how long loads take",
        "chestnutfall/placement/load_floor.py",
        "        return max(own_ms, self._all_ms)",
        "        return own_ms",
        "chestnutfall.tests.test_load_time_estimate",
    ),
    Mutant(
        "an engine is sent more than its batch",
        "chestnutfall/placement/prefill_turns.py",
        "        return engine.has_batch_place(now_ms) and self._may_prefill(",
        "        return self._may_prefill(",
        "chestnutfall.tests.test_placer",
    ),
    Mutant(
        "requests whose adapters load take places of the batch",
        "chestnutfall/placement/engine.py",
        "OVERSUBSCRIPTION = 2\n",
        "OVERSUBSCRIPTION = 1\n",
        "chestnutfall.tests.test_placer",
    ),
    Mutant(
        "a class that others exceed is owed nothing",
        "chestnutfall/placement/class_floor.py",
        "FLOOR = 0.6\n",
        "FLOOR = 0.0\n",
        _CLASSES_TEST,
    ),
    Mutant(
        "long prompts use all engines while short ones wait",
        "chestnutfall/placement/long_prompts.py",
        "        if service not in self._services_short or",
        "        if True or",
        _CLASSES_TEST,
    ),
    Mutant(
        "long prompts are held back while no short one waits",
        "chestnutfall/placement/long_prompts.py",
        "        if service not in self._services_short or",
        "        if",
        "chestnutfall.tests.test_class_parts",
    ),
    Mutant(
        "prompts that became late keep their engines",
        "chestnutfall/placement/prefill_turns.py",
        "        return Turn.LATER if slack_ms >= 0 or waiting.assigned_late else Turn.ELSEWHERE",
        "        return Turn.LATER",
        "chestnutfall.tests.test_class_parts",
    ),
    Mutant(
        "a prompt is sent behind a long one that makes it late",
        "chestnutfall/placement/prefill_schedule.py",
        "        return max(self._until_ms - now_ms, 0.0)",
        "        return 0.0",
        _CLASSES_TEST,
    ),
    Mutant(
        "a less urgent class is promised the rate of all",
        "chestnutfall/placement/placement_rate.py",
        "    per_s -= sum(rate for other, rate in by_rank.items() if other < rank)\n",
        "",
        "chestnutfall.tests.test_class_parts",
    ),
    Mutant(
        "a busy store is remembered like a usual one",
        "chestnutfall/placement/load_time_estimate.py",
        "        floor = self._store.usual if is_usual else self._store.busy",
        "        floor = self._store.usual",
        "chestnutfall.tests.test_load_time_estimate",
    ),
    Mutant(
        "requests that await their load are decided in each round",
        "chestnutfall/placement/awaited_load.py",
        "    has_time = left_ms >= RELAY_DELAY_MS + first_ms\n",
        "    has_time = False\n",
        "chestnutfall.tests.test_load_options",
    ),
    Mutant(
        "requests that await their load are passed over past their time",
        "chestnutfall/placement/awaited_load.py",
        "    has_time = left_ms >= RELAY_DELAY_MS + first_ms\n",
        "    has_time = True\n",
        "chestnutfall.tests.test_load_options",
    ),
    Mutant(
        "the search ends before the cheapest load",
        "chestnutfall/placement/engine_selector.py",
        "least_ms + least_prefill_ms > best[0][0] + ROUNDING_MS",
        "least_ms + 2 * least_prefill_ms > best[0][0] + ROUNDING_MS",
        "chestnutfall.tests.test_load_options",
    ),
    Mutant(
        "each load is tried on every engine",
        "chestnutfall/placement/engine_selector.py",
        "least_ms + least_prefill_ms > best[0][0] + ROUNDING_MS",
        "False",
        "chestnutfall.tests.test_load_options",
    ),
    Mutant(
        "each round looks at every engine",
        "chestnutfall/placement/engine_costs.py",
        "        self._standings: dict[str, tuple[float, PrefillRoom]] = {}\n",
        "        self._standings: dict[str, tuple[float, PrefillRoom]] = {}\n"
        "        _ = [one.prefill_wait_ms(now_ms) for one in engines]\n",
        "chestnutfall.tests.test_load_options",
    ),
)
