"""Mutants of the safeguards of engines' speeds."""

from __future__ import annotations

from ..mutant import Mutant

_SPEED_TEST = "chestnutfall.tests.test_engine_speed"
_LOAD_TEST = "chestnutfall.tests.test_uneven_engines"
_REPORTS_TEST = "chestnutfall.tests.test_engine_load_reports"
_SPEED = "chestnutfall/placement/engine_speed.py"
_REPORTED = "chestnutfall/placement/reported_slowdown.py"
_KINDS = "chestnutfall/placement/engine_kinds.py"
_COSTS = "chestnutfall/placement/engine_costs.py"
_REPORTS = "chestnutfall/forwarding/engine_load_reports.py"

SPEED_MUTANTS = (
    Mutant(
        "the usual speed of engines is not learned",
        _SPEED,
        "        self._set_usual(usual, now_ms)\n",
        "",
        _LOAD_TEST,
    ),
    Mutant(
        "reported slowdowns are not used",
        _REPORTED,
        "        return self._slowdown\n",
        "        return 1.0\n",
        _LOAD_TEST,
    ),
    Mutant(
        "a reported slowdown lasts until the next report",
        _REPORTED,
        "        if now_ms >= self._until_ms or self._excess_ms > MAX_EXCESS_MS:",
        "        if self._excess_ms > MAX_EXCESS_MS:",
        _SPEED_TEST,
    ),
    Mutant(
        "nonsense in every answer is believed",
        _REPORTED,
        "        if now_ms >= self._until_ms or self._excess_ms > MAX_EXCESS_MS:",
        "        if now_ms >= self._until_ms:",
        _SPEED_TEST,
    ),
    Mutant(
        "a report of no time at all is believed",
        _REPORTED,
        "now_ms + FRESH_MS if self._slowdown > 1 else now_ms",
        "now_ms + FRESH_MS",
        _SPEED_TEST,
    ),
    Mutant(
        "all answers that a cut held up count",
        _SPEED,
        " or now_ms - self._noted_ms < TOGETHER_MS:",
        ":",
        _SPEED_TEST,
    ),
    Mutant(
        "a cut is taken for a speed",
        _SPEED,
        "        if not 1 / MAX_RATIO <= ratio <= MAX_RATIO or",
        "        if",
        _SPEED_TEST,
    ),
    Mutant(
        "an idle engine stays slow for ever",
        _SPEED,
        "            self._set_usual(self.usual**IDLE_DECAY, now_ms)",
        "            pass",
        _SPEED_TEST,
    ),
    Mutant(
        "a spell lasts as long as the work",
        _SPEED,
        "        return work_ms + min(work_ms * (self.reported - 1), "
        "FRESH_MS * (1 - 1 / self.reported))",
        "        return work_ms * self.reported",
        _SPEED_TEST,
    ),
    Mutant(
        "a failing engine is taken for slow",
        "chestnutfall/placement/engine.py",
        "        if self.speed.refresh(now_ms) or self.health.is_failing(now_ms):",
        "        if self.speed.refresh(now_ms):",
        _SPEED_TEST,
    ),
    Mutant(
        "other work is taken for the usual speed",
        "chestnutfall/placement/engine.py",
        "        if self.speed.refresh(now_ms) or self.health.is_failing(now_ms):",
        "        if self.health.is_failing(now_ms):",
        _SPEED_TEST,
    ),
    Mutant(
        "a service that slows down has only slow engines",
        _KINDS,
        "            factor = min(max(median, 1 - MAX_RESCALE), 1 + MAX_RESCALE)",
        "            factor = 1.0",
        _SPEED_TEST,
    ),
    Mutant(
        "the speeds of all engines are stored",
        _KINDS,
        "for one in slow[:MAX_RATIOS]}",
        "for one in slow}",
        _SPEED_TEST,
    ),
    Mutant(
        "a new leader takes all engines for equal",
        "chestnutfall/placement/engine.py",
        "        self.speed = EngineSpeed(kind.ratios.get(instance, 1.0))",
        "        self.speed = EngineSpeed()",
        _SPEED_TEST,
    ),
    Mutant(
        "a request takes a slow engine that begins it late",
        _COSTS,
        "        return slow_first_ms is not None and slow_first_ms + prefill_ms > objective_ms",
        "        return False",
        _SPEED_TEST,
    ),
    Mutant(
        "streams on a slowed engine bear as much prefill",
        "chestnutfall/placement/pause_budget.py",
        "        kept_ms = GAPS_KEPT * self.gap_ms * slowdown",
        "        kept_ms = GAPS_KEPT * self.gap_ms",
        _SPEED_TEST,
    ),
    Mutant(
        "the load of an answer is not reported when it begins",
        "chestnutfall/forwarding/sender.py",
        "                sending.selector.note_load(place, load)",
        "                pass",
        _REPORTS_TEST,
    ),
    Mutant(
        "every answer's load is a message",
        _REPORTS,
        "        if self._clock.now_ms() >= self._next_ms:",
        "        if True:",
        _REPORTS_TEST,
    ),
    Mutant(
        "usual loads are reported",
        _REPORTS,
        "        if slowdown == 1 and instance not in self._unsent and "
        "not self._is_reported(instance):\n            return\n",
        "",
        _REPORTS_TEST,
    ),
    Mutant(
        "a leader of an earlier release is sent loads",
        "chestnutfall/forwarding/engine_upstream_selector.py",
        "        if self._fleet.knowledge.leader_reads_loads:\n",
        "        if True:\n",
        _REPORTS_TEST,
    ),
)
