"""Expected time of an adapter load on one engine, learned from its requests."""

from __future__ import annotations

from .store_times import StoreTimes

MIN_LOAD_MS = 20.0
"""No load is faster than a round trip and a few steps of the engine."""
MAX_LOAD_MS = 5_000.0
"""Longer than any request waits; a bound against faulty measurements."""
RAISE_FACTOR = 1.02
"""An estimate that was too short is set to 2 % above the time that had passed. That time is taken
when the refusal arrives here, some ms after the engine gave it, which is a further margin."""
LOWER_FACTOR = 0.98
"""Each load that had ended lowers the estimate by 2 %. Every ms above the true time delays all
requests that wait for a load, which is a third of them where many adapters share few slots. An
estimate that is a sixth too long is corrected within eight loads; a step of 0.5 % takes 31."""
BUSY_FACTOR = 1.15
"""A load that takes this many times the usual time comes from a busy store."""
MAX_PLAUSIBLE_FACTOR = 1.5
"""A load that has not ended after this many times the estimate never began, or was undone."""
COPY_TIME_SHARE = 0.1
"""A load from a copy in the engine's own memory takes a tenth of the time of a load from the
store."""


class LoadTimeEstimate:
    """Expected time of a load, in ms.

    Parameters
    ----------
    instance : str
        The engine.
    guess_ms : float
        Initial estimate of a load from the weight store.
    store : StoreTimes
        Observations that all engines of the service share.
    """

    def __init__(self, instance: str, guess_ms: float, store: StoreTimes) -> None:
        self._instance = instance
        self._ms = guess_ms
        self._store = store

    @property
    def usual_ms(self) -> float:
        """Time of a load from the weight store while the store is not busy."""
        return max(self._ms, self._least_ms())

    def expected_ms(self, from_copy: bool) -> float:
        """Time of a load, from the engine's own copy (`from_copy`) or from the weight store."""
        # Called for each engine in each decision round, so it repeats the sum of `usual_ms`.
        from_store_ms = max(
            self._ms,
            RAISE_FACTOR * self._store.usual.least_ms(self._instance),
            RAISE_FACTOR * self._store.busy.least_ms(self._instance),
            MIN_LOAD_MS,
        )
        return max(from_store_ms * COPY_TIME_SHARE, MIN_LOAD_MS) if from_copy else from_store_ms

    @property
    def copies_are_fast(self) -> bool:
        """Whether loads from copies in the engine's own memory are expected to be fast."""
        return self._store.copies.are_fast

    def note_copy_load(self, in_time: bool, now_ms: int) -> None:
        """Record whether a load from a copy had ended when its first request came."""
        if in_time:
            self._store.copies.note_fast()
        else:
            self._store.copies.note_slow(now_ms)

    def note_too_early(self, after_ms: float, now_ms: int) -> None:
        """Record that a load had not ended `after_ms` after its order.

        Many loads ordered under one estimate report this at the same time. The estimate is raised
        to the age of the load rather than by a step, so that together they raise it no further than
        one of them.
        """
        if after_ms > MAX_PLAUSIBLE_FACTOR * self.expected_ms(from_copy=False):
            return
        is_usual = after_ms <= BUSY_FACTOR * self.usual_ms
        floor = self._store.usual if is_usual else self._store.busy
        floor.note(self._instance, min(after_ms, MAX_LOAD_MS), now_ms)
        self._ms = self.usual_ms

    def note_ready(self, now_ms: int) -> None:
        """Record that a load had ended when its first request came."""
        self._store.usual.forget_old(now_ms)
        self._store.busy.forget_old(now_ms)
        self._store.copies.forget_old(now_ms)
        self._ms = max(self._ms * LOWER_FACTOR, self._least_ms())

    def _least_ms(self) -> float:
        return max(RAISE_FACTOR * self._store.usual.least_ms(self._instance), MIN_LOAD_MS)
