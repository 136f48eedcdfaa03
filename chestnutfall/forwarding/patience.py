"""How long answers may be silent: for us, and for the callers that wait for them."""

from __future__ import annotations

from ..routes import Route
from .call import Call

SLOW_READ_TOKENS_PER_MS = 15.0
"""A busy engine reads a prompt at about a third of its full speed."""
PAUSE_FACTOR = 3
"""Pauses of a busy engine stay below twice the objective; a hung one never ends its pause."""
OBJECTIVE_PART = 0.6
"""Moved then, a request can still be answered within its objective elsewhere."""
CALLER_LEAST_MS = 2_000
CALLER_OBJECTIVES = 4
CALLER_PAUSES = 8
"""Callers leave a stream that is silent for two seconds, four times its objective or eight times
its pause objective, whichever is longest: what the offices' clients do."""
CALLER_MARGIN_MS = 50
"""The first event still has to reach the caller."""
LEAST_MS = 200
"""Several times the usual wait of an engine with room."""


def first_byte_ms(route: Route, call: Call) -> float:
    """Longest wait for the beginning of an answer."""
    read_ms = call.prompt_tokens / SLOW_READ_TOKENS_PER_MS
    return max(OBJECTIVE_PART * route.objective_ms, LEAST_MS) + read_ms


def caller_ms(route: Route) -> float:
    """How long the caller of a stream waits for its first event.

    A stream that is placed later than that is read for nobody, and one that can't be placed until
    then is refused in time for its caller to come back.
    """
    longest_ms = max(
        CALLER_LEAST_MS,
        CALLER_OBJECTIVES * route.objective_ms,
        CALLER_PAUSES * route.pause_objective_ms,
    )
    return longest_ms - CALLER_MARGIN_MS


def pause_ms(route: Route) -> float:
    """Longest pause between two events."""
    return max(PAUSE_FACTOR * route.pause_objective_ms, LEAST_MS)
