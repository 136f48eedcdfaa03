"""Requests that wait for a ticket of one engine."""

from __future__ import annotations

from collections.abc import Iterator

from .messages import TicketRequest
from .ticket_waiter import TicketWaiter

FULL = "queue_full"
FULL_RETRY_MS = 1_000
"""Some of the waiting requests have been served by then."""


class TicketQueue:
    """The waiting requests; the least urgent one gives way when the queue is full."""

    def __init__(self) -> None:
        self._waiting: list[TicketWaiter] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: TicketWaiter) -> None:
        """Add a request."""
        self._waiting.append(waiting)

    def remove(self, waiting: TicketWaiter) -> None:
        """Remove a request if it is still waiting."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def count_ahead(self, rank: int) -> int:
        """Number of requests at least as urgent as `rank`."""
        return sum(one.req.rank <= rank for one in self._waiting)

    def has_request_for(self, adapter: str) -> bool:
        """Whether a request waits for an adapter."""
        return any(one.req.adapter == adapter for one in self._waiting)

    def shed_for(self, req: TicketRequest) -> bool:
        """Refuse the last of the least urgent requests if it is less urgent than `req`.

        Returns
        -------
        bool
            Whether a request was refused, which makes room for `req`.
        """
        last = max(self._waiting, key=lambda one: (one.req.rank, one.since_ms))
        if last.req.rank <= req.rank:
            return False
        last.refuse(FULL, FULL_RETRY_MS)
        self._waiting.remove(last)
        return True

    def withdraw(self, attempt_id: str) -> None:
        """Refuse the request of an attempt that is over."""
        for waiting in self._waiting:
            if waiting.req.attempt_id == attempt_id:
                waiting.refuse("withdrawn", 0)

    def refuse_all(self, code: str, retry_after_ms: int) -> None:
        """Refuse all waiting requests."""
        for waiting in self._waiting:
            waiting.refuse(code, retry_after_ms)

    def drop_answered(self) -> None:
        """Remove the requests that were granted or refused."""
        self._waiting = [waiting for waiting in self._waiting if not waiting.fut.done()]

    def by_urgency(self, now_ms: int, aging_ms: int) -> Iterator[TicketWaiter]:
        """Yield the most urgent first; each `aging_ms` of waiting raises a request by one class."""
        yield from sorted(self._waiting, key=lambda waiting: waiting.sort_key(now_ms, aging_ms))
