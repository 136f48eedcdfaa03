"""Order in which engines are sent the prompts that wait for them."""

from __future__ import annotations

from enum import Enum, auto

from .engine import Engine
from .engine_costs import RELAY_DELAY_MS
from .service_round import ServiceRound
from .waiting_request import WaitingRequest

URGENT_MS = 100
"""A prompt that must be sent within this time to be in time does not wait for room in the
window."""


class Turn(Enum):
    """What becomes of a prompt that waits for its engine."""

    NOW = auto()
    """It is sent."""
    LATER = auto()
    """It keeps its engine, and waits for room in the window or in the batch."""
    ELSEWHERE = auto()
    """It loses its engine, and queues again with the requests that have none."""


class PrefillTurns:
    """Keeps the order of the queue among the prompts of each engine during one decision round."""

    def __init__(self) -> None:
        self._full: set[str] = set()

    def begin_round(self) -> None:
        """Forget which engines were full in the last round."""
        self._full.clear()

    def turn(
        self, engine: Engine, waiting: WaitingRequest, service_round: ServiceRound, now_ms: int
    ) -> Turn:
        """Whether the engine is sent this prompt now; called in the order of the queue."""
        if not service_round.shares_prefill(waiting):
            slack_ms = waiting.objective_ms(now_ms) - engine.prefill.first_event_ms(
                waiting.req.ticket
            )
            sent = self._may_send(engine, waiting, slack_ms, now_ms)
            return Turn.NOW if sent else Turn.LATER
        slack_ms = _slack_ms(engine, waiting, now_ms)
        # Sent to this engine, it would be late behind a long prompt, for instance; another engine
        # may be free.
        if slack_ms < 0 and service_round.can_be_in_time(waiting):
            return Turn.ELSEWHERE
        if self._may_send(engine, waiting, slack_ms, now_ms):
            return Turn.NOW
        # If prompts that became late kept their engines, they would fill the engines' queues, and
        # those that can still be in time would find no engine and be late too.
        return Turn.LATER if slack_ms >= 0 or waiting.assigned_late else Turn.ELSEWHERE

    def _may_send(
        self, engine: Engine, waiting: WaitingRequest, slack_ms: float, now_ms: int
    ) -> bool:
        return engine.has_batch_place(now_ms) and self._may_prefill(
            engine, waiting, slack_ms, now_ms
        )

    def _may_prefill(
        self, engine: Engine, waiting: WaitingRequest, slack_ms: float, now_ms: int
    ) -> bool:
        urgent = 0 <= slack_ms < URGENT_MS
        # Otherwise short prompts behind a long one would use up the budget as it becomes free, and
        # delay the long prompt by a tenth of a second, until no more prompts may queue.
        if engine.instance in self._full and not urgent:
            return False
        if engine.may_prefill(waiting.req.ticket, urgent, now_ms):
            return True
        self._full.add(engine.instance)
        return False


def _slack_ms(engine: Engine, waiting: WaitingRequest, now_ms: int) -> float:
    """How much later the prompt could be sent and still be in time; negative when it can't."""
    prefill = engine.prefill
    first_event_ms = prefill.sent_ms(now_ms) + prefill.first_event_ms(waiting.req.ticket)
    return waiting.objective_ms(now_ms) - RELAY_DELAY_MS - first_event_ms
