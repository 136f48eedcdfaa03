"""Recent failures and delays of an upstream."""

from __future__ import annotations

import math

from .run_outcome import RunOutcome

FAILURE_WEIGHT = 0.25
"""Two failures in a row count almost half; three successes cancel most of one."""
HALF_LIFE_MS = 1_500
"""An upstream without requests can't recover by successes, so failures also decay with time: it is
tried again within seconds."""
FAILURE_COST_MS = 2_000
"""A failed request costs its caller a second attempt or the answer; valued as two seconds of
waiting."""
EJECTION_MS = 1_000
"""After refused or timed-out connections nothing is sent for this long: about one heartbeat."""
LAG_WEIGHT = 0.2
"""A delay counts in full after about five answers, so that one slow answer has little effect."""


class UpstreamHealth:
    """Failures and delays of one upstream, decaying with time."""

    def __init__(self) -> None:
        self._failure = 0.0
        self._lag_ms = 0.0
        self._at_ms = 0
        self._ejected_until_ms = -1

    def is_ejected(self, now_ms: int) -> bool:
        """Whether nothing should be sent to the upstream now, because of failed connections."""
        return now_ms < self._ejected_until_ms

    def note(self, outcome: RunOutcome, now_ms: int) -> None:
        """Record the outcome of a request."""
        self._decay(now_ms)
        match outcome:
            case RunOutcome.UNREACHABLE | RunOutcome.REPLACED:
                self._ejected_until_ms = now_ms + EJECTION_MS
            case RunOutcome.BROKEN:
                self._failure += FAILURE_WEIGHT * (1 - self._failure)
            case RunOutcome.DONE:
                self._failure -= FAILURE_WEIGHT * self._failure
            case _:
                pass

    def is_failing(self, now_ms: int) -> bool:
        """Whether requests failed lately; its times tell little about its speed then."""
        self._decay(now_ms)
        return self._failure >= FAILURE_WEIGHT / 2

    def note_lag(self, lag_ms: float, now_ms: int) -> None:
        """Record how much later than expected a first event came."""
        self._decay(now_ms)
        self._lag_ms += LAG_WEIGHT * (max(lag_ms, 0.0) - self._lag_ms)

    def cost_ms(self, now_ms: int) -> float:
        """Expected loss of time for one more request."""
        self._decay(now_ms)
        return self._failure * FAILURE_COST_MS + self._lag_ms

    def _decay(self, now_ms: int) -> None:
        if not self._failure and not self._lag_ms:
            self._at_ms = now_ms
            return
        factor = math.exp2((self._at_ms - now_ms) / HALF_LIFE_MS)
        self._failure *= factor
        self._lag_ms *= factor
        self._at_ms = now_ms
