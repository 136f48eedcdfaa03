"""When an owner may let the next request go to an engine that names a limit."""

from __future__ import annotations

from ..clock import Clock
from ..limits.messages import HeardLimit
from ..limits.upstream_limit import UpstreamLimit
from ..quota.return_times import ReturnTimes
from ..signals.messages import HeardBackoff
from .messages import TicketRefusal, TicketRequest

LIMITED = "limited"
LEAVING_MS = 600_000
"""An engine that leaves is gone long before."""


class EngineSends:
    """The limit of one incarnation of an engine, as its owner keeps it."""

    def __init__(self, engine: str, clock: Clock) -> None:
        self._engine = engine
        self._clock = clock
        self._limit = UpstreamLimit()
        self._return_times = ReturnTimes()
        self._backoff_until_ms = 0

    def hear(self, heard: HeardLimit) -> bool:
        """Take in what an answer said; whether the limit changed by it."""
        return self._limit.hear(heard, self._clock.now_ms())

    def hear_backoff(self, heard: HeardBackoff) -> None:
        """Take in that the engine asked an entry for time."""
        left_ms = LEAVING_MS if heard.left_ms is None else heard.left_ms
        self._backoff_until_ms = max(self._backoff_until_ms, self._clock.now_ms() + left_ms)

    def backoff_ms(self) -> int:
        """Time until nobody whom it asked for time is left."""
        return max(self._backoff_until_ms - self._clock.now_ms(), 0)

    def sent(self) -> None:
        """Count a request."""
        self._limit.note_sent(self._clock.now_ms())

    def wait_ms(self, ahead: int) -> int:
        """Time until the engine takes one more request, behind `ahead` others."""
        return self._limit.wait_ms(ahead, self._clock.now_ms())

    def refusal(self, req: TicketRequest, ahead: int, is_full: bool) -> TicketRefusal | None:
        """Refuse at once who would wait longer than it can, or finds the queue full.

        Returns
        -------
        TicketRefusal or None
            None where no limit is the reason.
        """
        wait_ms = self.wait_ms(ahead)
        per_s = self._limit.per_s
        if per_s is None or (wait_ms <= req.wait_ms and not is_full):
            return None
        now_ms = self._clock.now_ms()
        retry_ms = self._return_times.wait_ms(self._engine, wait_ms, 1000 / per_s, now_ms)
        return TicketRefusal(req.attempt_id, LIMITED, retry_ms)
