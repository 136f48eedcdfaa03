"""The requests that have no place yet."""

from __future__ import annotations

from collections.abc import Iterator

from .waiting_request import WaitingRequest


class WaitingRequests:
    """Finds waiting requests by ticket, and by the engine that they are assigned to.

    Iteration yields them in order of arrival.
    """

    def __init__(self) -> None:
        self._by_ticket: dict[str, WaitingRequest] = {}
        self._by_instance: dict[str, dict[str, WaitingRequest]] = {}

    def __len__(self) -> int:
        return len(self._by_ticket)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._by_ticket.values())

    def __contains__(self, ticket: str) -> bool:
        return ticket in self._by_ticket

    def get(self, ticket: str) -> WaitingRequest | None:
        """Return the request of a ticket; None if it doesn't wait."""
        return self._by_ticket.get(ticket)

    def at(self, instance: str) -> tuple[WaitingRequest, ...]:
        """Return the requests that are assigned to an engine."""
        return tuple(self._by_instance.get(instance, {}).values())

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request that isn't assigned to an engine."""
        self._by_ticket[waiting.req.ticket] = waiting

    def assign(self, waiting: WaitingRequest, instance: str) -> None:
        """Assign a request to an engine instead of the present one; to none if empty."""
        ticket = waiting.req.ticket
        present = self._by_instance.get(waiting.instance, {})
        present.pop(ticket, None)
        if not present:
            self._by_instance.pop(waiting.instance, None)
        waiting.instance = instance
        if instance:
            self._by_instance.setdefault(instance, {})[ticket] = waiting

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request, which keeps its engine."""
        instance = waiting.instance
        self.assign(waiting, "")
        waiting.instance = instance
        del self._by_ticket[waiting.req.ticket]
