"""Every mechanism of placement that is switched off by one change of the source."""

from __future__ import annotations

from .mutant import Mutant

_PLACEMENT = "chestnutfall/placement"

ABLATIONS = (
    Mutant(
        "pacing of reading",
        f"{_PLACEMENT}/read_schedule.py",
        "        return before_ms <= 0 or before_ms + read_ms <= window.budget_ms",
        "        return True",
        "",
    ),
    Mutant(
        "turns of long prompts",
        f"{_PLACEMENT}/reading_turns.py",
        "        self._full.add(engine.instance)\n",
        "",
        "",
    ),
    Mutant(
        "urgent prompts within the margin",
        f"{_PLACEMENT}/reading_turns.py",
        "        urgent = 0 <= slack_ms < URGENT_MS",
        "        urgent = False",
        "",
    ),
    Mutant(
        "room by prompts whose adapter is there",
        f"{_PLACEMENT}/engine.py",
        "        return held is None or held.is_ready(now_ms)",
        "        return True",
        "",
    ),
    Mutant(
        "learned pace of reading",
        f"{_PLACEMENT}/read_pace.py",
        "        self.ms_per_token = min(max(slope, LEAST_MS_PER_TOKEN), MOST_MS_PER_TOKEN)\n",
        "",
        "",
    ),
    Mutant(
        "slowness of single engines",
        f"{_PLACEMENT}/read_schedule.py",
        "        self.slowness = min(max(self.slowness * factor, 1.0), MOST_SLOWNESS)\n",
        "",
        "",
    ),
    Mutant(
        "kinds kept over leaders",
        "chestnutfall/coordination/leader_term.py",
        "            self._placer.kinds.know(service, kind)\n",
        "            pass\n",
        "",
    ),
    Mutant(
        "end of waits when callers leave",
        "chestnutfall/forwarding/engine_places.py",
        "    return int(wanted.call.arrived_ms + patience.caller_ms(wanted.route))",
        "    return wanted.until_ms",
        "",
    ),
    Mutant(
        "in time before late",
        f"{_PLACEMENT}/waiting.py",
        "        return not in_time, self.req.rank, self.since_ms",
        "        return False, self.req.rank, self.since_ms",
        "",
    ),
    Mutant(
        "wait for copies",
        f"{_PLACEMENT}/choice.py",
        "        if held is None and loaded is not None and self._may_wait(",
        "        if False and loaded is not None and self._may_wait(",
        "",
    ),
    Mutant(
        "refusal of the hopeless",
        f"{_PLACEMENT}/placer.py",
        "        if queue_ms > left_ms:",
        "        if False:",
        "",
    ),
    Mutant(
        "two strikes before an engine is shunned",
        f"{_PLACEMENT}/upstream_health.py",
        "                if self._failed_connections >= self._strikes:",
        "                if True:",
        "",
    ),
    Mutant(
        "health of engines",
        f"{_PLACEMENT}/choice.py",
        " + engine.health.cost_ms(self._now_ms)",
        "",
        "",
    ),
    Mutant(
        "price of loads from the store",
        f"{_PLACEMENT}/choice.py",
        "                cost_ms += STORE_MS\n",
        "                pass\n",
        "",
    ),
)
