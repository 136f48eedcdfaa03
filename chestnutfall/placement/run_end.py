"""What the end of a run tells of its engine and of the adapter's load."""

from __future__ import annotations

from .adapter_name import AdapterName
from .engine import Engine
from .holding import Holding
from .place_request import PlaceRequest
from .run_outcome import RunOutcome
from .run_times import RunTimes

LATE_LOAD_MS = 1_500
"""An adapter that is absent this soon after it should be there is late, not lost."""
TOO_EARLY_MS = 20
"""Shortest wait after a request that came before its adapter: a request that comes too early costs
one of the repeats, so that a second one of them is worth some ms."""
TOO_EARLY_PART = 0.1
"""The same as a part of the time waited so far; a store that is busy takes longer for all loads."""


def note_end(
    engine: Engine, req: PlaceRequest, outcome: RunOutcome, times: RunTimes, now_ms: int
) -> None:
    """Take in how a run ended that is no longer counted."""
    engine.health.note(outcome, now_ms)
    if outcome is RunOutcome.DONE:
        engine.health.note_lag(times.lag_ms, now_ms)
    holding = engine.holdings.get(req.adapter)
    if holding is None:
        return
    holding.tickets.discard(req.ticket)
    unready = not holding.confirmed and now_ms < holding.ready_ms + LATE_LOAD_MS
    match outcome:
        case RunOutcome.ABSENT | RunOutcome.FULL if unready:
            _note_early(engine, req.adapter, holding, now_ms)
        case RunOutcome.ABSENT:
            engine.holdings.pop(req.adapter)
            engine.synced = False
        case RunOutcome.DONE if not holding.confirmed:
            holding.confirmed = True
            if holding.from_memory:
                engine.loads.copy_came(True, now_ms)
            else:
                engine.loads.was_ready(now_ms)
        case _:
            pass


def _note_early(engine: Engine, adapter: AdapterName, holding: Holding, now_ms: int) -> None:
    age_ms = now_ms - holding.ordered_ms
    due_ms = now_ms + max(TOO_EARLY_MS, int(TOO_EARLY_PART * age_ms))
    if holding.from_memory:
        # The engine had no copy any more; the load takes as long as any other.
        engine.forget_copy(adapter)
        engine.loads.copy_came(False, now_ms)
        due_ms = max(due_ms, int(holding.ordered_ms + engine.loads.expected_ms(recent=False)))
        holding.from_memory = False
    elif not holding.was_early:
        engine.loads.came_too_early(age_ms, now_ms)
        holding.was_early = True
    holding.ready_ms = max(holding.ready_ms, due_ms)
