"""Permits to load from the weight store."""

from __future__ import annotations

import uuid
from abc import ABC, abstractmethod

from ..clock import Clock
from ..control.commands import Done, EndPermit, PermitTaken, TakePermit
from ..control.control_client import ControlClient, NoController

ASK_DEADLINE_MS = 3000
RETRY_MS = 100


class LoadPermits(ABC):
    """Budget of loads from the weight store, shared by the owners of all engines."""

    @abstractmethod
    async def take(self) -> str | None:
        """Return the id of a permit, or None when there is none at the moment."""

    @abstractmethod
    async def end(self, permit_id: str) -> None:
        """Return a permit; if the message is lost, the permit ends with its lease."""


class ControllerPermits(LoadPermits):
    """Permits that the controllers issue."""

    def __init__(self, client: ControlClient, session: str, clock: Clock) -> None:
        self._client = client
        self._session = session
        self._clock = clock

    async def take(self) -> str | None:
        permit_id = uuid.uuid4().hex
        try:
            reply = await self._client.ask(TakePermit(permit_id, self._session, 0), ASK_DEADLINE_MS)
        except NoController:
            return None
        if isinstance(reply, PermitTaken):
            return permit_id
        await self._clock.sleep_ms(RETRY_MS)
        return None

    async def end(self, permit_id: str) -> None:
        try:
            reply = await self._client.ask(EndPermit(permit_id), ASK_DEADLINE_MS)
            assert isinstance(reply, Done)
        except NoController:
            return
