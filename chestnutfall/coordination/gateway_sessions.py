"""All gateway streams to the leader, and the holders of tickets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..accounts import MemoryAccount
from ..placement import PlaceRequest
from .gateway_session import GatewaySession
from .held_requests import HeldRequests


class GatewaySessions:
    """Sends messages to all gateways, or to the gateway that holds a ticket.

    Parameters
    ----------
    memory : MemoryAccount
        What the requests of tickets draw from.
    """

    def __init__(self, memory: MemoryAccount) -> None:
        self._requests = HeldRequests(memory)
        self._sessions: set[GatewaySession] = set()
        self._by_ticket: dict[str, GatewaySession] = {}

    def __len__(self) -> int:
        return len(self._sessions)

    def add(self, session: GatewaySession) -> None:
        """Start sending to a gateway."""
        self._sessions.add(session)

    def count_told_running(self) -> int:
        """Number of gateways that have told what they have running."""
        return sum(session.has_told_running for session in self._sessions)

    def remove(self, session: GatewaySession) -> tuple[str, ...]:
        """Stop sending to a gateway, and return the tickets that it held."""
        self._sessions.discard(session)
        tickets = tuple(session.tickets)
        for ticket in tickets:
            self.release_ticket(ticket)
        return tickets

    def assign_ticket(
        self, req: PlaceRequest, session: GatewaySession, give_way: Callable[[], None]
    ) -> None:
        """Record that a gateway holds the ticket of a request that waits for a place.

        Parameters
        ----------
        give_way : callable
            Refuses the request, as others need its memory.

        Raises
        ------
        AccountFull
            When there is no memory for one more request; nothing has changed then.
        """
        self._requests.hold(req, give_way)
        self._assign(req.ticket, session)

    def adopt_ticket(self, req: PlaceRequest, session: GatewaySession) -> None:
        """Record that a gateway holds the ticket of a request that an engine runs already."""
        self._requests.hold_running(req)
        self._assign(req.ticket, session)

    def note_granted(self, ticket: str) -> None:
        """Record that the request of a ticket has its place, and can't be refused any more."""
        self._requests.note_granted(ticket)

    def _assign(self, ticket: str, session: GatewaySession) -> None:
        session.tickets.add(ticket)
        self._by_ticket[ticket] = session

    def release_ticket(self, ticket: str) -> None:
        """Forget a ticket."""
        self._requests.drop(ticket)
        session = self._by_ticket.pop(ticket, None)
        if session is not None:
            session.tickets.discard(ticket)

    def send_to_holder(self, ticket: str, msg: Any) -> None:
        """Send to the gateway that holds a ticket, if it is still connected."""
        session = self._by_ticket.get(ticket)
        if session is not None:
            session.send(msg)

    def broadcast_bulk(self, messages: tuple[Any, ...]) -> None:
        """Queue bulk messages for every gateway."""
        for session in self._sessions:
            session.send_bulk(messages)

    def broadcast(self, *messages: Any) -> None:
        """Send to every gateway."""
        for session in self._sessions:
            for msg in messages:
                session.send(msg)
