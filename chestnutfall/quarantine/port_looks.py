"""Repeated looks at ports, until it is known whether the processes behind them have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..clock import Clock

AGAIN_MS = 100
"""Pause between two looks at a port; each is a connection, and a message to each helper."""


class PortLooks:
    """Looks at ports; those that ask for one at the same time share a look.

    Parameters
    ----------
    refuses_connections : callable
        Whether the process at an address has ended; None if a look does not tell.
    """

    def __init__(
        self, refuses_connections: Callable[[str], Awaitable[bool | None]], clock: Clock
    ) -> None:
        self._refuses_connections = refuses_connections
        self._clock = clock
        self._looks: dict[str, asyncio.Task[bool | None]] = {}

    async def look(self, address: str) -> bool | None:
        """Return whether the process at an address has ended; None if this look does not tell."""
        look = self._looks.get(address)
        if look is None:
            look = asyncio.ensure_future(self._look(address))
            self._looks[address] = look
            look.add_done_callback(lambda _: self._looks.pop(address, None))
        # Whoever stops waiting must not take the look from the others.
        return await asyncio.shield(look)

    async def _look(self, address: str) -> bool | None:
        return await self._refuses_connections(address)

    async def look_until_ended(
        self, address: str, until_ms: int, is_decided: Callable[[], bool]
    ) -> bool:
        """Return whether a look shows an end before `until_ms` and before `is_decided`.

        Each look follows a pause. A look that finds the port open ends nothing: it may be that of
        the next incarnation.

        Parameters
        ----------
        until_ms : int
            Clock time after which no look begins.
        is_decided : callable
            Whether it is known by other means whether the process ended.
        """
        while not is_decided() and self._clock.now_ms() < until_ms:
            await self._clock.sleep_ms(AGAIN_MS)
            if await self.look(address):
                return True
        return False
