"""Tries of links that are cut, so that their return is noticed without a call."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from .path_table import PathTable

PAUSE_MS = 100
"""Pause after a try that failed: ten connections a second at most, however many links are cut."""


class LinkProber:
    """Tries the links that are cut, one after the other, while there are any.

    Calls are placed on upstreams that their gateway reaches, so none may ever try a link that is
    back. Links mostly come back together: after one that did, the next is tried at once.

    Parameters
    ----------
    upstream : callable
        Returns the record of an instance; None if it does not serve any more.
    opens : callable
        Whether a connection to an address opens now.
    """

    def __init__(
        self,
        paths: PathTable,
        upstream: Callable[[str], UpstreamRecord | None],
        opens: Callable[[str], Awaitable[bool]],
        clock: Clock,
    ) -> None:
        self._paths = paths
        self._upstream = upstream
        self._opens = opens
        self._clock = clock
        self._probing: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Try links until none is cut; called when a link has failed."""
        if self._probing is None:
            self._probing = asyncio.ensure_future(self._probe_all())

    async def _probe_all(self) -> None:
        try:
            await self._clock.sleep_ms(PAUSE_MS)
            while (instance := self._paths.longest_untried()) is not None:
                if not await self._probe(instance):
                    await self._clock.sleep_ms(PAUSE_MS)
        finally:
            self._probing = None

    async def _probe(self, instance: str) -> bool:
        """Try one link; return whether it is cut no longer."""
        record = self._upstream(instance)
        if record is None:
            self._paths.forget(instance)
            return True
        self._paths.note_tried(instance)
        if not await self._opens(record.address):
            return False
        self._paths.note_reached(instance)
        return True
