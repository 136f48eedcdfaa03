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
        Names of upstreams that are asked last; they are silent, or failed.
    excluded : frozenset of str
        Names of upstreams that are not asked at all.
    beside : bool
        Whether it was begun beside another one that is silent.
    upstream : str
        Name of the upstream; empty until it is chosen.
    instance : str
        The upstream's process; empty until it is chosen.
    heard_ms : int or None
        Clock time at which it was sent, or a part of the answer came; None before it was sent.
    """

    attempt_id: str
    avoid: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    beside: bool = False
    upstream: str = ""
    instance: str = ""
    heard_ms: int | None = None

    def is_silent(self, now_ms: int, silent_ms: int) -> bool:
        """Whether it was sent and nothing has been heard for `silent_ms`."""
        return self.heard_ms is not None and now_ms >= self.heard_ms + silent_ms
