"""Which gateways one upstream asked for time, where places at it are given."""

from __future__ import annotations

import math

PROBE_MS = 250
"""While it wants nothing from some gateways, the others may try it this often, all together: each
try that it turns away costs a repeat."""
RAMP_MS = 20
"""When its time is over, what it may be sent doubles this often: a refusal comes back sooner."""
RAMP_STEPS = 10
"""After so many doublings it takes as much as ever."""


class UpstreamBackoff:
    """One incarnation's word to each gateway, and what it says to the others.

    An upstream that turns one gateway away nearly always turns all away. Known to the others
    before they try, it costs a request that is turned away now and then instead of one at each
    gateway, again and again; at hundreds of gateways that would be more repeats than there may be.
    So they take it as the last choice, and a few try it.
    """

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}
        self._last_ms = -math.inf
        self._doubtful_until_ms = -math.inf
        self._probe = ""
        self._probe_due_ms = -math.inf
        self._sent = 0

    def hear(self, gateway: str, until_ms: float, now_ms: int) -> bool:
        """Take in a gateway's word; whether it is news to the other gateways."""
        self._forget_old(now_ms)
        if until_ms <= max(now_ms, self._until_ms.get(gateway, -math.inf)):
            return False
        self._until_ms[gateway] = until_ms
        self._last_ms = max(self._last_ms, until_ms)
        if until_ms <= self._doubtful_until_ms:
            return False
        if not self.is_doubtful(now_ms):
            self._probe_due_ms = now_ms + PROBE_MS
        self._doubtful_until_ms = until_ms
        self._sent = 0
        return True

    def _forget_old(self, now_ms: int) -> None:
        self._until_ms = {one: at_ms for one, at_ms in self._until_ms.items() if at_ms > now_ms}

    def forget(self, gateway: str) -> None:
        """Drop the word to a gateway that is gone."""
        self._until_ms.pop(gateway, None)

    def is_active(self, now_ms: int) -> bool:
        """Whether any gateway has to ask when it may send; hardly ever, and cheap to know."""
        return now_ms < self._last_ms + RAMP_MS * RAMP_STEPS

    @property
    def doubtful_until_ms(self) -> float:
        """When all gateways may use it as ever."""
        return self._doubtful_until_ms

    def is_doubtful(self, now_ms: int) -> bool:
        """Whether it would probably turn away whoever was not turned away yet."""
        return now_ms < self._doubtful_until_ms

    def back_ms(self, gateway: str, now_ms: int) -> float:
        """Time until it probably takes work from a gateway; endless if it leaves."""
        until_ms = max(self._until_ms.get(gateway, -math.inf), self._doubtful_until_ms)
        return max(until_ms - now_ms, 0.0)

    def wait_ms(self, gateway: str, now_ms: int) -> float:
        """Time until a request of a gateway may be sent there."""
        left_ms = self._until_ms.get(gateway, -math.inf) - now_ms
        if left_ms > 0:
            return left_ms
        if self.is_doubtful(now_ms):
            return max(self._probe_due_ms - now_ms, 0.0)
        return self._ramp_wait_ms(now_ms)

    def _ramp_wait_ms(self, now_ms: int) -> float:
        since_ms = now_ms - self._doubtful_until_ms
        if since_ms >= RAMP_MS * RAMP_STEPS:
            return 0.0
        # So many doublings let pass what was sent, and one more.
        due_ms = RAMP_MS * math.log2(self._sent + 1)
        return max(due_ms - since_ms, 0.0)

    def note_sent(self, ticket: str, now_ms: int) -> None:
        """Note that a place there was given."""
        if self.is_doubtful(now_ms):
            self._probe = ticket
            self._probe_due_ms = now_ms + PROBE_MS
        else:
            self._sent += 1

    def served(self, ticket: str) -> None:
        """Note that it answered a request well: if that was a try, others may use it as ever."""
        if ticket == self._probe and not math.isinf(self._doubtful_until_ms):
            self._doubtful_until_ms = -math.inf
