"""Limit and backoff of one engine, as its owner applies them to tickets."""

from __future__ import annotations

from ..clock import Clock
from ..limits.messages import HeardLimit
from ..limits.upstream_limit import UpstreamLimit
from ..quota.retry_schedule import RetrySchedule
from ..signals.messages import HeardBackoff
from .messages import TicketRefusal, TicketRequest

LIMITED = "limited"
LEAVING_BACKOFF_MS = 600_000
"""Backoff of an engine that is leaving; it is gone long before that."""


class EngineSendLimit:
    """The limit of one incarnation of an engine, and when its last backoff ends."""

    def __init__(self, engine: str, clock: Clock) -> None:
        self._engine = engine
        self._clock = clock
        self._limit = UpstreamLimit()
        self._retry_schedule = RetrySchedule()
        self._backoff_until_ms = 0

    def note_limit(self, report: HeardLimit) -> bool:
        """Apply the limit that an answer announced; return whether it changed."""
        return self._limit.apply_report(report, self._clock.now_ms())

    def note_backoff(self, report: HeardBackoff) -> None:
        """Record that the engine asked an entry gateway to back off."""
        left_ms = LEAVING_BACKOFF_MS if report.left_ms is None else report.left_ms
        self._backoff_until_ms = max(self._backoff_until_ms, self._clock.now_ms() + left_ms)

    def backoff_ms(self) -> int:
        """Time until the last backoff asked of any gateway is over."""
        return max(self._backoff_until_ms - self._clock.now_ms(), 0)

    def note_sent(self) -> None:
        """Count a request against the limit."""
        self._limit.note_sent(self._clock.now_ms())

    def wait_ms(self, ahead: int) -> int:
        """Time until the limit allows one more request behind `ahead` others."""
        return self._limit.wait_ms(ahead, self._clock.now_ms())

    def refusal(self, req: TicketRequest, ahead: int, is_full: bool) -> TicketRefusal | None:
        """Refuse a request that the limit delays too long, or that finds the queue full.

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
        retry_ms = self._retry_schedule.wait_ms(self._engine, wait_ms, 1000 / per_s, now_ms)
        return TicketRefusal(req.attempt_id, LIMITED, retry_ms)
