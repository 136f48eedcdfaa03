"""Links to all other gateways, and local calls for the engines that this gateway owns."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from ..clock import Clock
from ..limits.messages import HeardLimit
from ..membership import GatewayAgent
from ..ownership import (
    EngineBackoff,
    EngineLimit,
    EngineOwners,
    EngineView,
    OwnerNotification,
    ResumeSent,
    TicketEnd,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)
from ..signals.messages import HeardBackoff
from ..wire import TlsFiles
from .peer_link import PeerLink


class PeerLinks:
    """Sends requests and reports to the owner of an engine, be it this gateway or another."""

    def __init__(
        self, agent: GatewayAgent, engine_owners: EngineOwners, clock: Clock, tls: TlsFiles | None
    ) -> None:
        self._agent = agent
        self._engine_owners = engine_owners
        self._clock = clock
        self._tls = tls
        self._links: dict[str, tuple[PeerLink, asyncio.Task[None]]] = {}

    def update_links(self) -> None:
        """Open and close links so that there is exactly one to each other live gateway."""
        wanted = {
            session: gateway.address
            for session, gateway in self._agent.gateways.items()
            if session != self._agent.session
        }
        for session, (link, task) in list(self._links.items()):
            if wanted.get(session) != link.address:
                task.cancel()
                del self._links[session]
        for session, address in wanted.items():
            if session not in self._links:
                link = PeerLink(self._agent.session, address, self._clock, self._tls)
                self._links[session] = (link, asyncio.ensure_future(link.run()))

    async def acquire(self, req: TicketRequest) -> TicketGrant | TicketRefusal:
        """Ask the owner of `req.engine` for a ticket and return its answer.

        Refused with the code "no_owner" when the engine has none, and with "owner_unreachable"
        without a link to it.
        """
        owner = self._agent.owners.get(req.engine)
        if owner is None:
            return TicketRefusal(req.attempt_id, "no_owner", 0)
        if owner.owner == self._agent.session:
            return await self._acquire_here(req)
        found = self._links.get(owner.owner)
        if found is None:
            return TicketRefusal(req.attempt_id, "owner_unreachable", 0)
        return await found[0].acquire(req)

    async def _acquire_here(self, req: TicketRequest) -> TicketGrant | TicketRefusal:
        return await self._engine_owners.acquire(req, self._agent.session)

    def release_ticket(self, engine: str, attempt_id: str) -> None:
        """Release a ticket at the engine's owner."""
        if engine not in self._agent.owners:
            self._engine_owners.end(TicketEnd(attempt_id))
        self._send_to_owner(engine, TicketEnd(attempt_id))

    def report_limit(self, engine: str, report: HeardLimit) -> None:
        """Report to the engine's owner the request limit that an answer of the engine named."""
        self._send_to_owner(engine, EngineLimit(engine, report))

    def report_backoff(self, engine: str, report: HeardBackoff) -> None:
        """Report to the engine's owner the backoff that an answer of the engine asked for."""
        self._send_to_owner(engine, EngineBackoff(engine, report))

    def report_resume(self, engine: str) -> None:
        """Report to the engine's owner that this gateway asked the engine to resume a run."""
        self._send_to_owner(engine, ResumeSent(engine))

    def _send_to_owner(self, engine: str, msg: OwnerNotification) -> None:
        owner = self._agent.owners.get(engine)
        if owner is None:
            return
        if owner.owner == self._agent.session:
            self._engine_owners.handle(msg)
        elif owner.owner in self._links:
            self._links[owner.owner][0].send(msg)

    def views(self) -> Iterator[EngineView]:
        """Yield the newest view of every engine whose owner is reachable."""
        yield from self._engine_owners.views()
        for link, _ in self._links.values():
            yield from link.views.values()

    async def close(self) -> None:
        """Cancel the tasks of all links and wait for their end."""
        for _, task in self._links.values():
            task.cancel()
        await asyncio.gather(*(task for _, task in self._links.values()), return_exceptions=True)
