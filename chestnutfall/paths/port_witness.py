"""Whether the process at an address has ended, as two gateways see it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from .helper_api import HelperApi
from .known_helpers import KnownHelpers


class PortWitness:
    """Checks a port, and lets a helper confirm that it refuses connections.

    A gateway that is cut off may get refusals from ports that are open to all others. If these
    counted as ends of processes, every gateway would lose all upstreams, and requests that were
    running there would be quarantined. A helper that is cut off as well is no witness, and says so;
    one that connects proves the opposite, whatever the others see.

    Parameters
    ----------
    refuses_connections : callable
        Checks a port over the own link.
    is_alone : callable
        Whether no other gateway is known.
    """

    def __init__(
        self,
        refuses_connections: Callable[[str], Awaitable[bool]],
        helper_api: HelperApi,
        helpers: KnownHelpers,
        is_alone: Callable[[], bool],
    ) -> None:
        self._refuses_connections = refuses_connections
        self._helper_api = helper_api
        self._helpers = helpers
        self._is_alone = is_alone

    async def has_ended(self, address: str) -> bool | None:
        """Whether the process at `address` has ended; None if only this gateway's link tells."""
        if not await self._refuses_connections(address):
            return False
        if self._is_alone():
            return True
        seen = [
            await self._helper_api.refuses(helper, self._helpers.keys, address)
            for helper in self._helpers.candidates()
        ]
        if False in seen:
            return False
        return True if True in seen else None
