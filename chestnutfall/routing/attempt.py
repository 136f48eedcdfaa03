"""One attempt to get an answer from an upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt, and how far it has come.

    Attributes
    ----------
    attempt_id : str
        Unique for each attempt.
    avoid : frozenset of str
        Names of upstreams that are silent.
    only_others : bool
        Whether those are not asked at all, instead of last.
    upstream : str
        Name of the upstream; empty until it is chosen.
    sent_ms : int or None
        Clock time at which it was sent; None before.
    """

    attempt_id: str
    avoid: frozenset[str] = frozenset()
    only_others: bool = False
    upstream: str = ""
    sent_ms: int | None = None

    def is_silent(self, now_ms: int, silent_ms: int) -> bool:
        """Whether it was sent at least `silent_ms` ago; for an answer that has not begun."""
        return self.sent_ms is not None and now_ms >= self.sent_ms + silent_ms
