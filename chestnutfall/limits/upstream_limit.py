"""When one upstream may be sent its next request."""

from __future__ import annotations

import math

from ..clock import SlidingWindow
from ..quota.token_bucket import TokenBucket
from .latest_limit import LatestLimit
from .messages import HeardLimit

RECENT_MS = 1_000
"""Sends within this time count against a new or lower limit."""
BURST_MS = 500
"""Sends allowed at once after a pause, as time at the limit's rate, in addition to one request;
a third of what upstreams tolerate."""
MIN_PER_S = 0.2
"""An upstream with a lower limit, or 0, still gets one request in five seconds, since only its
answer can show that the limit has changed."""


class UpstreamLimit:
    """Counts the requests that all gateways together send to one upstream, against its limit.

    Parameters
    ----------
    counts_sends : bool
        Whether `note_sent` is also called while there is no limit. If not, the first limit is
        assumed to be far below what the upstream was sent before.
    """

    def __init__(self, counts_sends: bool = True) -> None:
        self._counts_sends = counts_sends
        self._latest = LatestLimit()
        self._sent = SlidingWindow(RECENT_MS)
        self._bucket: TokenBucket | None = None

    @property
    def per_s(self) -> float | None:
        """Enforced requests per second, at least `MIN_PER_S`; None for no limit."""
        return self._bucket.per_s if self._bucket is not None else None

    @property
    def declared_per_s(self) -> float | None:
        """Requests per second as the upstream declares them, possibly 0; None for no limit."""
        return self._latest.per_s

    def apply_report(self, report: HeardLimit, now_ms: int) -> bool:
        """Apply a gateway's report of an answer; return whether the limit changed."""
        sent_ms, received_ms = now_ms - report.asked_ago_ms, now_ms - report.heard_ago_ms
        return self.update(report.per_s, sent_ms, received_ms, now_ms)

    def update(self, per_s: float | None, sent_ms: float, received_ms: float, now_ms: int) -> bool:
        """Apply the limit of one answer; return whether the limit changed.

        Parameters
        ----------
        per_s : float or None
            Requests per second; None for no limit.
        sent_ms, received_ms : float
            Clock times at which the request was sent and its answer received.
        """
        if not self._latest.update(per_s, sent_ms, received_ms):
            return False
        if per_s is None:
            self._bucket = None
        else:
            self._resize(max(per_s, MIN_PER_S), now_ms)
        return True

    def note_sent(self, now_ms: int) -> None:
        """Count one request sent to the upstream."""
        self._sent.note(now_ms)
        if self._bucket is not None:
            self._bucket.take(1, now_ms)

    def wait_ms(self, ahead: int, now_ms: int) -> int:
        """Time until a request may be sent if `ahead` others are queued before it."""
        return self._bucket.until_ms(ahead + 1, now_ms) if self._bucket is not None else 0

    def level(self, now_ms: int) -> float:
        """Requests that may be sent at once; negative after too many, infinite for no limit."""
        return self._bucket.level(now_ms) if self._bucket is not None else math.inf

    def _resize(self, per_s: float, now_ms: int) -> None:
        size = 1 + per_s * BURST_MS / 1000
        # An upstream that declares a limit, or a lower one, has just received more than that.
        # Sending at the full new rate on top of it would exceed the limit by far in the seconds
        # around the change.
        allowed = per_s * RECENT_MS / 1000
        left = max(allowed - self._sent.count(now_ms), -allowed)
        bucket = self._bucket
        if bucket is None:
            level = min(left, 0.0) if self._counts_sends else -allowed
            self._bucket = TokenBucket(per_s, size, level, now_ms)
            return
        falls = per_s < bucket.per_s
        bucket.resize(per_s, size, now_ms)
        if falls:
            bucket.take(max(bucket.level(now_ms) - left, 0.0), now_ms)
