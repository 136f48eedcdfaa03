"""How long a load of an adapter takes on one engine, learned from its use."""

from __future__ import annotations

from .store_times import StoreTimes

LEAST_MS = 20.0
"""No load is faster than a round trip and a few steps of the engine."""
MOST_MS = 5_000.0
"""Longer than any request waits; a bound against a broken measurement."""
TOO_SHORT = 1.02
"""Set to 2 % over the time that was too short. That time is measured when the refusal is known
here, some ms after the engine gave it, which is a margin by itself."""
TOO_LONG = 0.98
"""Lowered by 2 % with each load that had ended. Every ms above the truth is waited for by all who
wait for a load, a third of the requests where many adapters share few places; a guess that is a
sixth too long is right after eight loads, where a step of 0.5 % took 31."""
USUAL_PART = 1.15
"""A load that takes so much longer than expected is one from a busy store."""
PLAUSIBLE = 1.5
"""A load that is still not there after this many times the estimate never began, or was undone."""
RECENT_PART = 0.1
"""An adapter that its engine held recently comes from its own memory, ten times as fast."""


class LoadTimer:
    """Expected time of a load, ms, from a first guess.

    Parameters
    ----------
    instance : str
        The engine.
    store : StoreTimes
        What all engines of its service found together.
    """

    def __init__(self, instance: str, guess_ms: float, store: StoreTimes) -> None:
        self._instance = instance
        self._ms = guess_ms
        self._store = store

    @property
    def usual_ms(self) -> float:
        """Time of a load from the weight store while that is not busy."""
        return max(self._ms, self._least_ms())

    def expected_ms(self, recent: bool) -> float:
        """Time of a load, from the engine's own memory (`recent`) or from the weight store."""
        busy_ms = TOO_SHORT * self._store.busy.least_ms(self._instance)
        from_store_ms = max(self.usual_ms, busy_ms)
        return max(from_store_ms * RECENT_PART, LEAST_MS) if recent else from_store_ms

    @property
    def trusts_copies(self) -> bool:
        """Whether an adapter that the engine held recently is taken to load fast."""
        return self._store.copies.holds

    def copy_came(self, in_time: bool, now_ms: int) -> None:
        """The first request after a load from a copy came when it had ended, or too early."""
        if in_time:
            self._store.copies.was_fast()
        else:
            self._store.copies.was_slow(now_ms)

    def came_too_early(self, after_ms: float, now_ms: int) -> None:
        """A load had not ended `after_ms` after its order.

        Many loads that were ordered under one estimate tell this at the same time. Their own age
        counts, so that together they raise it no further than one of them.
        """
        if after_ms > PLAUSIBLE * self.expected_ms(recent=False):
            return
        is_usual = after_ms <= USUAL_PART * self.usual_ms
        floor = self._store.usual if is_usual else self._store.busy
        floor.note(self._instance, min(after_ms, MOST_MS), now_ms)
        self._ms = self.usual_ms

    def was_ready(self, now_ms: int) -> None:
        """A load had ended when its first request came."""
        self._store.usual.forget_old(now_ms)
        self._store.busy.forget_old(now_ms)
        self._store.copies.forget_old(now_ms)
        self._ms = max(self._ms * TOO_LONG, self._least_ms())

    def _least_ms(self) -> float:
        return max(TOO_SHORT * self._store.usual.least_ms(self._instance), LEAST_MS)
