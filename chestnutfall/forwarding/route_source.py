"""Where the routes in force come from."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..routes import RouteTable


class RouteSource(ABC):
    """The routes in force on this gateway.

    Attributes
    ----------
    table : RouteTable or None
        Routes in force here; None before the first document.
    """

    table: RouteTable | None = None

    @abstractmethod
    async def until_table(self, within_ms: float) -> RouteTable | None:
        """Wait for the first document; None when it does not come in time."""
