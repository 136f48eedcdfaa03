"""How well an upstream answered lately."""

from __future__ import annotations

import math

from .run_outcome import RunOutcome

FAILURE_WEIGHT = 0.25
"""Two failures in a row weigh almost half; three successes forgive most of one."""
HALF_LIFE_MS = 1_500
"""An upstream without work can't prove itself, so time forgives: it is tried again in seconds."""
FAILURE_COST_MS = 2_000
"""A failed run costs its caller a second attempt or the answer; as much as waiting two seconds."""
SHUN_MS = 1_000
"""After refused or timed-out connections nothing is sent for this long: about one heartbeat."""
LAG_WEIGHT = 0.2
"""A delay counts fully after about five answers, so that one slow answer shuns nobody."""


class UpstreamHealth:
    """Failures and delays, decaying with time.

    Parameters
    ----------
    strikes : int
        Failed connections in a row, without an answer between them, after which nothing is sent.
    """

    def __init__(self, strikes: int = 1) -> None:
        self._strikes = strikes
        self._failed_connections = 0
        self._failure = 0.0
        self._lag_ms = 0.0
        self._at_ms = 0
        self._shunned_until_ms = -1

    def is_shunned(self, now_ms: int) -> bool:
        """Whether a connection just failed."""
        return now_ms < self._shunned_until_ms

    def note(self, outcome: RunOutcome, now_ms: int) -> None:
        """Take an outcome in."""
        self._decay(now_ms)
        match outcome:
            case RunOutcome.UNREACHABLE:
                self._failed_connections += 1
                if self._failed_connections >= self._strikes:
                    self._shunned_until_ms = now_ms + SHUN_MS
            case RunOutcome.REPLACED:
                self._shunned_until_ms = now_ms + SHUN_MS
            case RunOutcome.BROKEN:
                self._failure += FAILURE_WEIGHT * (1 - self._failure)
            case RunOutcome.DONE:
                self._failed_connections = 0
                self._failure -= FAILURE_WEIGHT * self._failure
            case _:
                pass

    def note_lag(self, lag_ms: float, now_ms: int) -> None:
        """Take in how much later than expected a first event came."""
        self._decay(now_ms)
        self._lag_ms += LAG_WEIGHT * (max(lag_ms, 0.0) - self._lag_ms)

    def cost_ms(self, now_ms: int) -> float:
        """Expected loss for one more request."""
        self._decay(now_ms)
        return self._failure * FAILURE_COST_MS + self._lag_ms

    def _decay(self, now_ms: int) -> None:
        factor = math.exp2((self._at_ms - now_ms) / HALF_LIFE_MS)
        self._failure *= factor
        self._lag_ms *= factor
        self._at_ms = now_ms
