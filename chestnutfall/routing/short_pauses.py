"""Whether a silence that has ended was a pause, or is how long a service usually takes."""

from __future__ import annotations

from ..clock import Clock
from ..forwarding.silent_upstreams import LASTING_MS

PAUSES_APART_MS = 10_000
"""Shortest time between two pauses of a sound service."""


class ShortPauses:
    """Remembers the last pause of each service.

    An upstream that answers after a silence may have paused, or may always take as long. Both look
    the same for one request; a service that is silent again soon after is slow.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since_ms: dict[str, int] = {}

    def explains(self, service: str, since_ms: int) -> bool:
        """Whether a pause explains the silence of an upstream that answers now; remember the pause.

        Parameters
        ----------
        since_ms : int
            Clock time at which the silence began.
        """
        if self._clock.now_ms() - since_ms >= LASTING_MS:
            return False
        last_ms = self._since_ms.get(service)
        if last_ms is None or since_ms - last_ms >= PAUSES_APART_MS:
            self._since_ms[service] = since_ms
            return True
        # The silences of all requests that one pause holds up begin at about the same time.
        return since_ms - last_ms < LASTING_MS
