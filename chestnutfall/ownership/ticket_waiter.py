"""A request that waits for a ticket."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .messages import TicketGrant, TicketRefusal, TicketRequest


@dataclass(slots=True)
class TicketWaiter:
    """A request in an engine's queue.

    Attributes
    ----------
    session : str
        Session of the entry gateway.
    since_ms : int
        Clock time at which it was queued.
    fut : asyncio.Future
        Resolved with the grant or refusal.
    needed_load : bool
        Whether it had to wait for a load.
    """

    req: TicketRequest
    session: str
    since_ms: int
    fut: asyncio.Future[TicketGrant | TicketRefusal]
    needed_load: bool = False

    def sort_key(self, now_ms: int, aging_ms: int) -> tuple[int, int]:
        """Sort key: class raised by one for each `aging_ms` waited, then arrival."""
        lifted = self.req.rank - (now_ms - self.since_ms) // aging_ms
        return max(lifted, 0), self.since_ms

    def is_expired(self, now_ms: int) -> bool:
        """Whether it has waited as long as it may."""
        return now_ms >= self.since_ms + self.req.wait_ms

    def refuse(self, code: str, retry_after_ms: int) -> None:
        """Resolve the request with a refusal, unless it is resolved already."""
        if not self.fut.done():
            self.fut.set_result(TicketRefusal(self.req.attempt_id, code, retry_after_ms))
