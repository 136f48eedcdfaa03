"""A token bucket whose level may be negative."""

from __future__ import annotations


class TokenBucket:
    """A bucket that fills at a constant rate up to its size, and can be in debt.

    Units that were already used are taken even if the bucket does not hold them. The next request
    waits until the debt is filled, so that the long-term rate is kept.

    Attributes
    ----------
    per_s : float
        Units per second at which it fills.
    size : float
        Units that it holds at most.
    """

    def __init__(self, per_s: float, size: float, level: float, now_ms: int) -> None:
        self.per_s = per_s
        self.size = size
        self._level = min(level, size)
        self._filled_ms = now_ms

    def level(self, now_ms: int) -> float:
        """Units in the bucket; negative in debt. Time that runs backwards adds nothing."""
        passed_ms = max(now_ms - self._filled_ms, 0)
        self._level = min(self._level + passed_ms * self.per_s / 1000, self.size)
        self._filled_ms = max(now_ms, self._filled_ms)
        return self._level

    def take(self, units: float, now_ms: int) -> None:
        """Take units; give them back if `units` is negative."""
        self._level = min(self.level(now_ms) - units, self.size)

    def resize(self, per_s: float, size: float, now_ms: int) -> None:
        """Change the rate and the size from now on; units beyond the new size are lost."""
        self._level = min(self.level(now_ms), size)
        self.per_s, self.size = per_s, size

    def until_ms(self, level: float, now_ms: int) -> int:
        """Time until the bucket holds `level` units, if none are taken."""
        lacking = level - self.level(now_ms)
        return 0 if lacking <= 0 else int(lacking * 1000 / self.per_s) + 1
