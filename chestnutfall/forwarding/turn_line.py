"""The leader as the one who gives turns at limited upstreams."""

from __future__ import annotations

from ..limits.messages import AnswerTurn
from .fleet_client import FleetClient
from .limited_turns import AskForTurn
from .place import Wanted


def turn_line(fleet: FleetClient) -> AskForTurn:
    """Ask over the gateway's stream to the leader."""

    async def ask(wanted: Wanted, wait_ms: int) -> AnswerTurn:
        return await fleet.ask_turn(
            wanted.service.name, wanted.avoid, wanted.organisation, wanted.route.rank, wait_ms
        )

    return ask
