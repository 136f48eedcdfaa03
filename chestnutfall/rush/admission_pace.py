"""Spreads the connections that a limit allows over time."""

from __future__ import annotations

WEIGHT = 0.1
"""Weight of one call in the mean time that calls take."""
BURST_FRACTION = 0.1
"""Part of the limit that may be taken at once."""


class AdmissionPace:
    """Allows as many connections in the time that a call takes as may be there at once.

    Calls that are taken all at once come back from their upstreams all at once, and the gateway is
    late with them and idle afterwards.
    """

    def __init__(self) -> None:
        self._call_ms = 0.0
        self._allowed = 0.0
        self._noted_ms = 0

    def note_call(self, took_ms: int) -> None:
        """Note the time from taking a connection to its answer."""
        self._call_ms += WEIGHT * (took_ms - self._call_ms)

    def admits(self, now_ms: int, limit: float) -> bool:
        """Whether one more may be taken now; counts it if so."""
        burst = max(limit * BURST_FRACTION, 1.0)
        passed_ms = now_ms - self._noted_ms
        self._noted_ms = now_ms
        self._allowed = min(self._allowed + passed_ms * limit / max(self._call_ms, 1.0), burst)
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True
