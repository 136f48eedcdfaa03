"""Requests that wait for a ticket of one engine."""

from __future__ import annotations

from collections.abc import Iterator

from .messages import TicketRequest
from .waiting import Waiting

FULL = "queue_full"
FULL_RETRY_MS = 1_000
"""By then some of those that wait have been served."""


class TicketQueue:
    """Who waits, who goes first, and who gives way."""

    def __init__(self) -> None:
        self._waiting: list[Waiting] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: Waiting) -> None:
        """Take a request in."""
        self._waiting.append(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Drop a request, if it is still here."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def before(self, rank: int) -> int:
        """Requests at least as urgent as `rank`."""
        return sum(one.req.rank <= rank for one in self._waiting)

    def wants(self, adapter: str) -> bool:
        """Whether a request waits for an adapter."""
        return any(one.req.adapter == adapter for one in self._waiting)

    def shed_for(self, req: TicketRequest) -> bool:
        """Refuse the last of the least urgent requests, if it is less urgent than `req`."""
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
        """Refuse everybody."""
        for waiting in self._waiting:
            waiting.refuse(code, retry_after_ms)

    def drop_answered(self) -> None:
        """Forget those that got their answer."""
        self._waiting = [waiting for waiting in self._waiting if not waiting.fut.done()]

    def by_urgency(self, now_ms: int, aging_ms: int) -> Iterator[Waiting]:
        """Yield the most urgent first; each `aging_ms` of waiting lifts a request by a class."""
        yield from sorted(self._waiting, key=lambda waiting: waiting.rank(now_ms, aging_ms))
