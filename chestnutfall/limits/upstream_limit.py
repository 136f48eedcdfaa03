"""When one upstream may be sent its next request."""

from __future__ import annotations

import math

from ..clock import SlidingWindow
from ..quota.token_bucket import TokenBucket
from .latest_word import LatestWord
from .messages import HeardLimit

RECENT_MS = 1_000
"""Sends of this time are counted against a new or lower limit."""
BURST_MS = 500
"""What may come at once after a pause, beside one request; a third of what upstreams bear."""
LEAST_PER_S = 0.2
"""An upstream that takes nothing is asked once in five seconds whether that still holds."""


class UpstreamLimit:
    """The one count of what an upstream is sent from all gateways together.

    Parameters
    ----------
    counts_sends : bool
        Whether sends are noted here also while there is no limit. Where they are not, a first
        limit is taken to be far below them.
    """

    def __init__(self, counts_sends: bool = True) -> None:
        self._counts_sends = counts_sends
        self._word = LatestWord()
        self._sent = SlidingWindow(RECENT_MS)
        self._bucket: TokenBucket | None = None

    @property
    def per_s(self) -> float | None:
        """Requests a second; None for no limit."""
        return self._bucket.per_s if self._bucket is not None else None

    @property
    def named_per_s(self) -> float | None:
        """The same as the upstream named it, which may be nothing at all."""
        return self._word.per_s

    def hear(self, heard: HeardLimit, now_ms: int) -> bool:
        """Take in what a gateway heard; whether the limit changed by it."""
        asked_ms, heard_ms = now_ms - heard.asked_ago_ms, now_ms - heard.heard_ago_ms
        return self.take_word(heard.per_s, asked_ms, heard_ms, now_ms)

    def take_word(self, per_s: float | None, asked_ms: float, heard_ms: float, now_ms: int) -> bool:
        """Take in what an answer said; whether the limit changed by it."""
        if not self._word.take(per_s, asked_ms, heard_ms):
            return False
        if per_s is None:
            self._bucket = None
        else:
            self._resize(max(per_s, LEAST_PER_S), now_ms)
        return True

    def note_sent(self, now_ms: int) -> None:
        """Count a send."""
        self._sent.note(now_ms)
        if self._bucket is not None:
            self._bucket.take(1, now_ms)

    def wait_ms(self, ahead: int, now_ms: int) -> int:
        """Time until it may be sent a request, behind `ahead` others that wait for it."""
        return self._bucket.until_ms(ahead + 1, now_ms) if self._bucket is not None else 0

    def level(self, now_ms: int) -> float:
        """Requests that it may be sent at once; negative where it got too many."""
        return self._bucket.level(now_ms) if self._bucket is not None else math.inf

    def _resize(self, per_s: float, now_ms: int) -> None:
        size = 1 + per_s * BURST_MS / 1000
        # An upstream that names a limit, or a lower one, has just got more. Given its full rate on
        # top of that, it would get far more than it takes in the seconds around the change.
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
