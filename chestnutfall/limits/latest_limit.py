"""The limit in the newest of an upstream's answers."""

from __future__ import annotations

import math


class LatestLimit:
    """Selects the newest limit among answers that arrive through many gateways, in any order.

    One answer is certainly newer than another only if its request was sent after the other answer
    was received. If two exchanges overlap, the lower limit holds: otherwise an answer produced
    just before the upstream declared a limit could remove it. The next answer settles which
    limit is current.

    Attributes
    ----------
    per_s : float or None
        Requests per second; None for no limit.
    sent_ms, received_ms : float
        Clock times at which the request of the newest answer was sent and the answer received.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.sent_ms = -math.inf
        self.received_ms = -math.inf

    def update(self, per_s: float | None, sent_ms: float, received_ms: float) -> bool:
        """Apply the limit of one answer; return whether the limit changed."""
        if self.sent_ms > received_ms:
            return False
        overlaps = sent_ms < self.received_ms
        if overlaps and _as_number(per_s) > _as_number(self.per_s):
            return False
        changed = per_s != self.per_s
        self.per_s = per_s
        self.sent_ms = max(sent_ms, self.sent_ms)
        self.received_ms = max(received_ms, self.received_ms)
        return changed


def _as_number(per_s: float | None) -> float:
    return math.inf if per_s is None else per_s
