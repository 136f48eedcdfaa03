"""Turns at rate-limited upstreams from the leading controller."""

from __future__ import annotations

from ..limits.messages import AnswerTurn
from .fleet_client import FleetClient
from .limited_turns import AskForTurn
from .place import SelectionCriteria


def leader_turn_client(fleet: FleetClient) -> AskForTurn:
    """Return a function that asks for turns over the gateway's stream to the leader."""

    async def ask(criteria: SelectionCriteria, wait_ms: int) -> AnswerTurn:
        return await fleet.ask_turn(
            criteria.service.name,
            criteria.avoid,
            criteria.organisation,
            criteria.route.rank,
            wait_ms,
        )

    return ask
