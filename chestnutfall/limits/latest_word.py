"""What an upstream said last of its limit."""

from __future__ import annotations

import math


class LatestWord:
    """The newest of many answers that come through many gateways, in any order.

    An answer is certainly newer than another if its request was sent after the other came. Of two
    that crossed each other the lower limit holds: taken for the newer one, an answer that was made
    just before a limit would end it. What crossed is settled by the next answer.

    Attributes
    ----------
    per_s : float or None
        Requests a second; None for no limit.
    asked_ms, heard_ms : float
        When the request of the newest answer was sent, and when the answer came.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.asked_ms = -math.inf
        self.heard_ms = -math.inf

    def take(self, per_s: float | None, asked_ms: float, heard_ms: float) -> bool:
        """Take in what an answer said; whether the limit changed by it."""
        if self.asked_ms > heard_ms:
            return False
        crossed = asked_ms < self.heard_ms
        if crossed and _as_number(per_s) > _as_number(self.per_s):
            return False
        changed = per_s != self.per_s
        self.per_s = per_s
        self.asked_ms = max(asked_ms, self.asked_ms)
        self.heard_ms = max(heard_ms, self.heard_ms)
        return changed


def _as_number(per_s: float | None) -> float:
    return math.inf if per_s is None else per_s
