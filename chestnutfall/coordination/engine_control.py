"""Interface for orders to engines and reports of engines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from ..control.upstream_record import UpstreamRecord
from ..placement import EngineReport, Order


class OrderResult(Enum):
    """Result of an order to an engine."""

    TAKEN = "taken"
    """The order will be carried out: a load is in progress, or an adapter is dropped when its runs
    end."""
    IN_EFFECT = "in_effect"
    """The ordered state holds now: an idle adapter was dropped at once, or the engine held it
    already."""
    CONFLICT = "conflict"
    """Another order is in progress, or the engine took orders that the sender does not know of."""
    FENCED = "fenced"
    """The engine saw a newer fencing token."""
    REPLACED = "replaced"
    """Another incarnation listens at the address."""
    UNKNOWN = "unknown"
    """No clear answer; the order may still be carried out seconds later."""


class EngineControl(ABC):
    """Sends orders to engines, each with the leader's fencing token, and reads their reports."""

    @abstractmethod
    async def order(
        self,
        engine: UpstreamRecord,
        order: Order,
        fencing_token: int,
        orders_taken: int,
        within_ms: float,
    ) -> OrderResult:
        """Send an order that is valid only if the engine took exactly `orders_taken` before.

        Parameters
        ----------
        engine : UpstreamRecord
            Incarnation that gets the order.
        order : Order
            What to load or unload.
        fencing_token : int
            Token of the leader; engines refuse older ones than they saw.
        orders_taken : int
            Number of orders that the engine took so far.
        within_ms : float
            Timeout; the result is UNKNOWN if there is no answer in time.
        """

    @abstractmethod
    async def report(self, engine: UpstreamRecord) -> EngineReport:
        """Read what an engine holds.

        Raises
        ------
        ConnectionError
            If there is no answer in time, or another incarnation answers.
        """
