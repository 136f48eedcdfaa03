"""How long loads of a service were lately seen to take at least."""

from __future__ import annotations

WITNESSES = 2
"""One engine that carries out an order late says nothing of the store that all load from."""


class LoadFloor:
    """Loads that had not ended after so many ms, over all engines of a service.

    All engines load from one store, so what one of them finds holds for the others. Each by itself
    finds it out by a request that comes too early, and again whenever its own estimate fell below
    it. With 31 engines, four loads a second on each (`test_load_timer`), 54 requests came too early
    in five seconds when each engine had nothing but its own estimate, and two with this floor.

    Parameters
    ----------
    remembered_ms : int
        Shorter loads are tried again after this time.
    """

    def __init__(self, remembered_ms: int) -> None:
        self._remembered_ms = remembered_ms
        self._all_ms = 0.0
        self._seen: dict[str, tuple[float, int]] = {}

    def note(self, instance: str, after_ms: float, now_ms: int) -> None:
        """Take in that a load of an engine had not ended `after_ms` after its order."""
        self._seen[instance] = after_ms, now_ms
        self.forget_old(now_ms)

    def least_ms(self, instance: str) -> float:
        """Loads of this engine take longer than this; 0 where nothing is known."""
        own_ms, _ = self._seen.get(instance, (0.0, 0))
        return max(own_ms, self._all_ms)

    def forget_old(self, now_ms: int) -> None:
        """Drop what was seen too long ago."""
        if not self._seen:
            return
        since_ms = now_ms - self._remembered_ms
        self._seen = {name: seen for name, seen in self._seen.items() if seen[1] > since_ms}
        longest = sorted((after_ms for after_ms, _ in self._seen.values()), reverse=True)
        self._all_ms = longest[WITNESSES - 1] if len(longest) >= WITNESSES else 0.0
