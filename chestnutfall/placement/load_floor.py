"""Observed lower bound of the load times of a service."""

from __future__ import annotations

MIN_ENGINES = 2
"""Engines that must have observed a bound before it applies to all. A single engine that carries
out an order late tells nothing about the store that all of them load from."""


class LoadFloor:
    """Longest times after which a load had not ended yet, over all engines of a service.

    All engines load from one store, so that an observation of one holds for the others. Without
    sharing, each engine learns by a request that is sent too early, and again whenever its own
    estimate falls below the true time: with 31 engines and four loads a second on each
    (`test_load_time_estimate`), 54 requests were sent too early in five seconds, and two with this
    floor.

    Parameters
    ----------
    remembered_ms : int
        Time after which an observation is dropped, so that shorter loads are tried again.
    """

    def __init__(self, remembered_ms: int) -> None:
        self._remembered_ms = remembered_ms
        self._all_ms = 0.0
        self._seen: dict[str, tuple[float, int]] = {}

    def note(self, instance: str, after_ms: float, now_ms: int) -> None:
        """Record that a load of an engine had not ended `after_ms` after its order."""
        self._seen[instance] = after_ms, now_ms
        self.forget_old(now_ms)

    def least_ms(self, instance: str) -> float:
        """Return the time that loads of this engine exceed; 0 where nothing was observed."""
        own_ms, _ = self._seen.get(instance, (0.0, 0))
        return max(own_ms, self._all_ms)

    def forget_old(self, now_ms: int) -> None:
        """Drop observations older than `remembered_ms`."""
        if not self._seen:
            return
        since_ms = now_ms - self._remembered_ms
        self._seen = {name: seen for name, seen in self._seen.items() if seen[1] > since_ms}
        longest = sorted((after_ms for after_ms, _ in self._seen.values()), reverse=True)
        self._all_ms = longest[MIN_ENGINES - 1] if len(longest) >= MIN_ENGINES else 0.0
