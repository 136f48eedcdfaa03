"""Port to the engines for orders and reports."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from ..control.upstream_record import UpstreamRecord
from ..placement import EngineReport, Order


class OrderResult(Enum):
    """What an engine made of an order."""

    TAKEN = "taken"
    """It will be carried out: a load is under way, or an adapter is dropped when its runs end."""
    IN_EFFECT = "in_effect"
    """What was ordered is so now: an idle adapter was dropped at once, or the engine held it."""
    CONFLICT = "conflict"
    """Another order is under way, or orders were taken that the sender does not know of."""
    FENCED = "fenced"
    """It saw a newer fencing token."""
    REPLACED = "replaced"
    """Another incarnation has the address."""
    UNKNOWN = "unknown"
    """No clear answer; it may still be carried out, seconds later."""


class EngineControl(ABC):
    """Orders to engines, each with the fencing token of the holder."""

    @abstractmethod
    async def order(
        self,
        engine: UpstreamRecord,
        order: Order,
        fencing_token: int,
        orders_taken: int,
        within_ms: float,
    ) -> OrderResult:
        """Give an order that holds only if the engine took exactly `orders_taken` before.

        Without an answer `within_ms` the result is UNKNOWN.
        """

    @abstractmethod
    async def report(self, engine: UpstreamRecord) -> EngineReport:
        """Ask what an engine holds.

        Raises
        ------
        ConnectionError
            When there is no answer in time, or another incarnation answers.
        """
