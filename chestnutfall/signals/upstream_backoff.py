"""The backoffs of one upstream towards all gateways, kept by the leader."""

from __future__ import annotations

import math

PROBE_MS = 250
"""Interval of probes, for all gateways together, while the upstream probably rejects: each probe
that it rejects costs a repeat."""
RAMP_MS = 20
"""After a backoff, the number of allowed sends doubles at this interval, which is longer than a
rejection takes to arrive."""
RAMP_STEPS = 10
"""Doublings after which sends are no longer restricted."""


class UpstreamBackoff:
    """Tracks the backoffs of one incarnation of an upstream, and limits sends meanwhile and after.

    An upstream that rejects one gateway nearly always rejects all. If every gateway found this
    out by a rejected request, again and again, hundreds of gateways would need more repeats than
    are allowed. So the other gateways choose the upstream last, and only a few requests probe it.
    """

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}
        self._last_ms = -math.inf
        self._probably_rejects_until_ms = -math.inf
        self._probe = ""
        self._probe_due_ms = -math.inf
        self._sent = 0

    def update(self, gateway: str, until_ms: float, now_ms: int) -> bool:
        """Apply the end of a backoff towards a gateway.

        Parameters
        ----------
        until_ms : float
            Clock time of the end; infinite if the upstream is leaving.

        Returns
        -------
        bool
            Whether the other gateways need a hint, since the upstream now probably rejects them
            for longer.
        """
        self._forget_old(now_ms)
        if until_ms <= max(now_ms, self._until_ms.get(gateway, -math.inf)):
            return False
        self._until_ms[gateway] = until_ms
        self._last_ms = max(self._last_ms, until_ms)
        if until_ms <= self._probably_rejects_until_ms:
            return False
        if not self.probably_rejects(now_ms):
            self._probe_due_ms = now_ms + PROBE_MS
        self._probably_rejects_until_ms = until_ms
        self._sent = 0
        return True

    def _forget_old(self, now_ms: int) -> None:
        self._until_ms = {one: at_ms for one, at_ms in self._until_ms.items() if at_ms > now_ms}

    def forget_gateway(self, gateway: str) -> None:
        """Drop the backoff towards a gateway whose session ended."""
        self._until_ms.pop(gateway, None)

    def is_active(self, now_ms: int) -> bool:
        """Return whether sends may be restricted for any gateway.

        A cheap check for the usual case without any backoff.
        """
        return now_ms < self._last_ms + RAMP_MS * RAMP_STEPS

    @property
    def probably_rejects_until_ms(self) -> float:
        """Clock time until which it probably rejects all gateways; infinite if it is leaving."""
        return self._probably_rejects_until_ms

    def probably_rejects(self, now_ms: int) -> bool:
        """Return whether it would probably reject a gateway that it has not rejected yet."""
        return now_ms < self._probably_rejects_until_ms

    def unavailable_ms(self, gateway: str, now_ms: int) -> float:
        """Time until it probably accepts requests of a gateway; infinite if it is leaving."""
        until_ms = max(self._until_ms.get(gateway, -math.inf), self._probably_rejects_until_ms)
        return max(until_ms - now_ms, 0.0)

    def wait_ms(self, gateway: str, now_ms: int) -> float:
        """Time until a request of a gateway may be sent, also as a probe."""
        left_ms = self._until_ms.get(gateway, -math.inf) - now_ms
        if left_ms > 0:
            return left_ms
        if self.probably_rejects(now_ms):
            return max(self._probe_due_ms - now_ms, 0.0)
        return self._ramp_wait_ms(now_ms)

    def _ramp_wait_ms(self, now_ms: int) -> float:
        since_ms = now_ms - self._probably_rejects_until_ms
        if since_ms >= RAMP_MS * RAMP_STEPS:
            return 0.0
        # One send is allowed at the end of the backoff, and the allowed number doubles every
        # `RAMP_MS`. It reaches `_sent + 1`, which allows the next send, after log2(_sent + 1)
        # doublings.
        due_ms = RAMP_MS * math.log2(self._sent + 1)
        return max(due_ms - since_ms, 0.0)

    def note_sent(self, ticket: str, now_ms: int) -> None:
        """Count a send, of which `ticket` identifies the request."""
        if self.probably_rejects(now_ms):
            self._probe = ticket
            self._probe_due_ms = now_ms + PROBE_MS
        else:
            self._sent += 1

    def served(self, ticket: str) -> None:
        """Record a success of the request `ticket`; after that of the probe all gateways may send.

        Gateways with a backoff of their own still wait for its end.
        """
        if ticket == self._probe and not math.isinf(self._probably_rejects_until_ms):
            self._probably_rejects_until_ms = -math.inf
