"""Interface to the routes in force."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..routes import RouteTable


class RouteSource(ABC):
    """Provides the routes in force on this gateway.

    Attributes
    ----------
    table : RouteTable or None
        The routes; None before the first document.
    """

    table: RouteTable | None = None

    @abstractmethod
    async def wait_for_table(self, within_ms: float) -> RouteTable | None:
        """Wait up to `within_ms` for the first document; return None if it does not come."""
