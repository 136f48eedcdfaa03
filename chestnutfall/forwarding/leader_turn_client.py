"""Turns at limited or full plain upstreams from the leading controller."""

from __future__ import annotations

from ..clock import Clock
from ..concurrency.turn_messages import AnswerTurn, AskTurn
from .fleet_client import FleetClient
from .limited_turns import AskForTurn
from .place import SelectionCriteria


def leader_turn_client(fleet: FleetClient, clock: Clock) -> AskForTurn:
    """Return a function that asks for turns over the gateway's stream to the leader."""

    async def ask(criteria: SelectionCriteria, wait_ms: int) -> AnswerTurn:
        return await fleet.questions.ask_turn(
            lambda number: turn_question(number, criteria, wait_ms, clock.now_ms()), wait_ms
        )

    return ask


def turn_question(number: int, criteria: SelectionCriteria, wait_ms: int, now_ms: int) -> AskTurn:
    """Return the question for a turn of a call, which waits for it at most `wait_ms`."""
    route = criteria.route
    objective_ms = criteria.call.arrived_ms + route.objective_ms
    return AskTurn(
        number,
        criteria.service.name,
        criteria.avoid,
        criteria.organisation,
        route.rank,
        wait_ms,
        left_ms=max(criteria.until_ms - now_ms, 1),
        objective_ms=max(objective_ms - now_ms, 1),
        kind=route.name,
        idempotent=route.kind.idempotent,
        request=criteria.request,
        for_room=criteria.needs_room,
    )
