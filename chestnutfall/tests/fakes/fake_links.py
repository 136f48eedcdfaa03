"""Links between simulated gateways that can be cut."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from ...clock import Clock
from ...membership import GatewayAgent
from ...ownership import (
    EngineOwners,
    EngineView,
    OwnerNotification,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)
from ...peers import PeerLinks

if TYPE_CHECKING:
    from .fake_office import FakeGateway


class FakeLinks(PeerLinks):
    """Calls the `EngineOwners` of other gateways directly, without streams.

    Attributes
    ----------
    cut : bool
        Whether this gateway is cut off from all others; set by tests.
    """

    def __init__(
        self,
        agent: GatewayAgent,
        engine_owners: EngineOwners,
        clock: Clock,
        others: Callable[[], dict[str, FakeGateway]],
    ) -> None:
        super().__init__(agent, engine_owners, clock, None)
        self._others = others
        self.cut = False

    def _engine_owners_of(self, session: str) -> EngineOwners | None:
        if session == self._agent.session:
            return self._engine_owners
        own = self._others().get(self._agent.session)
        other = self._others().get(session)
        here_gone = self.cut or own is None or not own.alive
        gone = here_gone or other is None or other.links.cut or not other.alive
        return None if gone else other.engine_owners  # type: ignore[union-attr]

    def update_links(self) -> None:
        """Do nothing: there are no streams."""

    async def acquire(self, req: TicketRequest) -> TicketGrant | TicketRefusal:
        owner = self._agent.owners.get(req.engine)
        engine_owners = self._engine_owners_of(owner.owner) if owner else None
        if engine_owners is None:
            return TicketRefusal(req.attempt_id, "owner_unreachable", 0)
        return await engine_owners.acquire(req, self._agent.session)

    def _send_to_owner(self, engine: str, msg: OwnerNotification) -> None:
        owner = self._agent.owners.get(engine)
        engine_owners = self._engine_owners_of(owner.owner) if owner else None
        if engine_owners is not None:
            engine_owners.handle(msg)

    def views(self) -> Iterator[EngineView]:
        sessions = {one.owner for one in self._agent.owners.values()}
        for session in sorted(sessions):
            engine_owners = self._engine_owners_of(session)
            if engine_owners is not None:
                yield from engine_owners.views()
