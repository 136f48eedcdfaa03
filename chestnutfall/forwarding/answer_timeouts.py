"""How long answers may be silent before another upstream is looked for, or clients leave."""

from __future__ import annotations

from ..routes import Route
from .call import Call

SLOW_PREFILL_TOKENS_PER_MS = 15.0
"""Prefill speed of a busy engine, about a third of its full speed."""
PAUSE_FACTOR = 3
"""Longest usual pause in pause objectives. Pauses of a busy engine stay below twice the objective;
those of a hung one never end."""
OBJECTIVE_FRACTION = 0.6
"""Fraction of the objective after which a silent send is sent to another upstream too, early enough
for it to answer within the objective."""
CALLER_MIN_MS = 2_000
CALLER_OBJECTIVES = 4
CALLER_PAUSES = 8
"""Clients disconnect from a stream that is silent for two seconds, four times its objective or
eight times its pause objective, whichever is longest."""
CALLER_MARGIN_MS = 50
"""Reserved for the first event to reach the client."""
MIN_TIMEOUT_MS = 200
"""Lower bound of the timeouts; several times the usual answer time of an engine with free capacity.
"""


def patience_ms(route: Route, call: Call) -> float:
    """Return how long an upstream may be silent before the call looks for another one, in ms."""
    prefill_ms = call.prompt_tokens / SLOW_PREFILL_TOKENS_PER_MS
    first_ms = max(OBJECTIVE_FRACTION * route.objective_ms, MIN_TIMEOUT_MS) + prefill_ms
    if not route.kind.streamed:
        return first_ms
    return max(first_ms, PAUSE_FACTOR * route.pause_objective_ms, MIN_TIMEOUT_MS)


def caller_timeout_ms(route: Route) -> float:
    """Return how long the client of a stream waits for the first event, in ms.

    A stream that starts later has no reader. A call that gets no engine within this time is refused
    early enough for its client to retry.
    """
    longest_ms = max(
        CALLER_MIN_MS,
        CALLER_OBJECTIVES * route.objective_ms,
        CALLER_PAUSES * route.pause_objective_ms,
    )
    return longest_ms - CALLER_MARGIN_MS
