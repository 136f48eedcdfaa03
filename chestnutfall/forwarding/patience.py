"""How long an answer that may be repeated elsewhere may be silent."""

from __future__ import annotations

from ..routes import Route
from .call import Call

SLOW_READ_TOKENS_PER_MS = 15.0
"""A busy engine reads a prompt at about a third of its full speed."""
PAUSE_FACTOR = 3
"""Pauses of a busy engine stay below twice the objective; a hung one never ends its pause."""
OBJECTIVE_PART = 0.6
"""Moved then, a request can still be answered within its objective elsewhere."""
LEAST_MS = 200
"""Several times the usual wait of an engine with room."""


def first_byte_ms(route: Route, call: Call) -> float:
    """Longest wait for the beginning of an answer."""
    read_ms = call.prompt_tokens / SLOW_READ_TOKENS_PER_MS
    return max(OBJECTIVE_PART * route.objective_ms, LEAST_MS) + read_ms


def pause_ms(route: Route) -> float:
    """Longest pause between two events."""
    return max(PAUSE_FACTOR * route.pause_objective_ms, LEAST_MS)
