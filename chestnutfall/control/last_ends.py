"""When requests, or parts of prompts, were last running as an upstream ended."""

from __future__ import annotations

MAX_LAST_ENDS = 8_192
"""Keys that were running when upstreams ended recently; about 150 bytes each."""
REPORT_JITTER_MS = 5
"""Reports of two gateways reach the leader with delays that differ by some milliseconds."""


class LastEnds:
    """The time of the last end of an upstream by what was running there, for one leader term."""

    def __init__(self) -> None:
        self._ended_ms: dict[str, int] = {}

    def note(self, key: str, broke_ms: int) -> None:
        """Record that a run with this key broke off as its upstream ended."""
        last_ms = self._ended_ms.pop(key, broke_ms)
        self._ended_ms[key] = max(last_ms, broke_ms)
        if len(self._ended_ms) > MAX_LAST_ENDS:
            del self._ended_ms[next(iter(self._ended_ms))]

    def last_ms(self, key: str) -> int | None:
        """Return the clock time of the last end; None if none is known."""
        return self._ended_ms.get(key)

    def is_separate(self, key: str, began_ms: int) -> bool:
        """Whether an end counts as a separate one for a key whose latest run began at `began_ms`.

        It does if a run began after the previous end that the key was part of. A rack that loses
        power ends many upstreams at once, all while they run the few most frequent requests. If
        each of these ends counted, exactly the most frequent requests would be blamed. A request
        that does end upstreams does so again after each end.
        """
        last_ms = self.last_ms(key)
        return last_ms is None or began_ms >= last_ms - REPORT_JITTER_MS
