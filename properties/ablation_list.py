"""Performance mechanisms, each with the change of the source that switches it off."""

from __future__ import annotations

from .mutant import Mutant
from .safeguards import MUTANTS

_PLACEMENT = "chestnutfall/placement"
_TESTED_MECHANISMS = frozenset(
    {
        "reading is not paced",
        "short prompts pass long ones by",
        "prompts whose adapters load take the reading of others",
        "the pace of reading is not learned",
        "slow engines read like others",
        "a new leader begins with guesses",
        "first come first served, late or not",
        "no wait for a copy",
        "shunned at the first failed connection",
        "who comes before its adapter is placed elsewhere",
        "each engine learns alone how long loads take",
        "requests whose adapters load take places of the batch",
        "gateways never tell that a service is short of room",
        "a kind of calls keeps no floor",
        "calls wait for a turn that comes too late",
        "who comes back when told is put behind newcomers",
        "work goes to an upstream that is slow at this moment",
    }
)
"""Names of the mutants that remove a performance mechanism and not a guarantee."""
_UNTESTED_MECHANISMS = (
    Mutant(
        "urgent prompts wait like others",
        f"{_PLACEMENT}/prefill_turns.py",
        "        urgent = 0 <= slack_ms < URGENT_MS",
        "        urgent = False",
        "",
    ),
    Mutant(
        "waits go on when callers have left",
        "chestnutfall/forwarding/engine_upstream_selector.py",
        "    return int(criteria.call.arrived_ms"
        " + answer_timeouts.caller_timeout_ms(criteria.route))",
        "    return criteria.until_ms",
        "",
    ),
    Mutant(
        "the hopeless wait",
        f"{_PLACEMENT}/refusals.py",
        "        if queue_ms <= waiting.since_ms + req.wait_ms - now_ms:",
        "        if True:",
        "",
    ),
    Mutant(
        "health of engines does not count",
        f"{_PLACEMENT}/engine_costs.py",
        " + engine.health.cost_ms(self._now_ms)",
        "",
        "",
    ),
    Mutant(
        "loads from the store have no price",
        f"{_PLACEMENT}/engine_selector.py",
        "            cost_ms += STORE_COST_MS\n",
        "            pass\n",
        "",
    ),
)
"""Mechanisms that no test covers; `test` is empty."""
ABLATIONS = (*(one for one in MUTANTS if one.name in _TESTED_MECHANISMS), *_UNTESTED_MECHANISMS)
