"""Updates an engine's state by the end of a request."""

from __future__ import annotations

from .adapter_name import AdapterName
from .engine import Engine
from .holding import Holding
from .place_request import PlaceRequest
from .run_outcome import RunOutcome
from .run_times import RunTimes

LATE_LOAD_MS = 1_500
"""An adapter reported absent within this time after its expected readiness is late, not lost."""
MIN_EXTRA_WAIT_MS = 20
"""Shortest further wait after a request was sent before its adapter was ready. Each such request
costs a retry, so that some ms are worth avoiding a second one."""
EXTRA_WAIT_SHARE = 0.1
"""The further wait as a part of the time waited so far; a busy store takes longer for all loads."""


def note_end(
    engine: Engine, req: PlaceRequest, outcome: RunOutcome, times: RunTimes, now_ms: int
) -> None:
    """Update health, holdings and load times by a request that is no longer counted."""
    match outcome:
        case RunOutcome.UNREACHABLE | RunOutcome.NO_PATH:
            is_confirmed = outcome is RunOutcome.UNREACHABLE
            engine.reach.note_failed(req.gateway, is_confirmed, now_ms)
        case RunOutcome.DONE:
            engine.reach.note_reached(req.gateway)
            engine.health.note(outcome, now_ms)
        case _:
            engine.health.note(outcome, now_ms)
    engine.rejections.note_end(req.ticket, outcome, now_ms)
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
            if holding.from_copy:
                engine.load_time.note_copy_load(True, now_ms)
            else:
                engine.load_time.note_ready(now_ms)
        case _:
            pass


def _note_early(engine: Engine, adapter: AdapterName, holding: Holding, now_ms: int) -> None:
    age_ms = now_ms - holding.ordered_ms
    due_ms = now_ms + max(MIN_EXTRA_WAIT_MS, int(EXTRA_WAIT_SHARE * age_ms))
    if holding.from_copy:
        # The engine no longer had a copy; the load takes as long as one from the store.
        engine.forget_copy(adapter)
        engine.load_time.note_copy_load(False, now_ms)
        due_ms = max(
            due_ms, int(holding.ordered_ms + engine.load_time.expected_ms(from_copy=False))
        )
        holding.from_copy = False
    elif not holding.was_early:
        engine.load_time.note_too_early(age_ms, now_ms)
        holding.was_early = True
    holding.ready_ms = max(holding.ready_ms, due_ms)
