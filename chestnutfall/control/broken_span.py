"""When a request ran at an upstream that broke it off."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BrokenSpan:
    """Clock times of the leader, from the earliest beginning to the latest break of its runs."""

    began_ms: int
    broke_ms: int

    def with_run(self, began_ms: int, broke_ms: int) -> BrokenSpan:
        """The span with one more run of the request in it."""
        return BrokenSpan(min(self.began_ms, began_ms), max(self.broke_ms, broke_ms))
