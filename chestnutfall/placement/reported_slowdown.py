"""How much longer than usual an engine's work takes at this moment, as its answers report."""

from __future__ import annotations

FRESH_MS = 500
"""How long a report counts. Other work on the engine's host comes and goes within a fraction of a
second, and an engine that gets no requests reports nothing that would end it."""
MAX_SLOWDOWN = 5.0
"""Bound against faulty reports. An engine five times as slow as usual gets hardly any requests, so
that a higher figure would make no difference."""
SPELL_SHARE = 0.3
"""Part of the time that an engine may be slowed down and its reports still count as spells."""
MAX_EXCESS_MS = 3_000
"""Reports are ignored once they have covered this much more time than `SPELL_SHARE` of it. By then
the learned speed of the engine includes what lasts, and a host that reports nonsense with every
answer has no more effect."""


class ReportedSlowdown:
    """The newest report of one engine, for as long as it counts."""

    def __init__(self) -> None:
        self._slowdown = 1.0
        self._until_ms = 0
        self._noted_ms = 0
        self._excess_ms = 0.0

    def note(self, slowdown: float, now_ms: int) -> None:
        """Record a report; one of the usual speed ends what was reported before.

        A report of less than the usual time counts as usual: otherwise a faulty one would attract
        all requests.
        """
        self._count_excess(now_ms)
        self._slowdown = min(slowdown, MAX_SLOWDOWN)
        self._until_ms = now_ms + FRESH_MS if self._slowdown > 1 else now_ms

    def factor(self, now_ms: int) -> float:
        """Return how many times as long as usual work takes; 1 without a report that counts."""
        if now_ms >= self._until_ms or self._excess_ms > MAX_EXCESS_MS:
            return 1.0
        return self._slowdown

    def _count_excess(self, now_ms: int) -> None:
        """Update how much longer reports were in force than spells of other work would be."""
        passed_ms = max(now_ms - self._noted_ms, 0)
        covered_ms = min(passed_ms, max(self._until_ms - self._noted_ms, 0))
        excess_ms = self._excess_ms + covered_ms - SPELL_SHARE * passed_ms
        self._excess_ms = min(max(excess_ms, 0.0), 2 * MAX_EXCESS_MS)
        self._noted_ms = now_ms
