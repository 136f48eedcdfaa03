"""When requests, or parts of prompts, were running as upstreams ended."""

from __future__ import annotations

from .run_interval import RunInterval

MAX_LAST_ENDS = 8_192
"""Keys that were running when upstreams ended recently; at most 1 KB each."""
MAX_RUNS = 8
"""Runs kept by key; a key that is part of more ends is quarantined or held."""
REPORT_JITTER_MS = 5
"""Reports of two gateways reach the leader with delays that differ by some milliseconds."""


class LastEnds:
    """The last ends of upstreams by what was running there, for one leader term."""

    def __init__(self) -> None:
        self._runs: dict[str, tuple[RunInterval, ...]] = {}

    def note(self, key: str, run: RunInterval) -> None:
        """Record that a run with this key broke off as its upstream ended."""
        runs = (*self._runs.pop(key, ()), run)
        self._runs[key] = runs[-MAX_RUNS:]
        if len(self._runs) > MAX_LAST_ENDS:
            del self._runs[next(iter(self._runs))]

    def last_ms(self, key: str) -> int | None:
        """Return the clock time of the last end; None if none is known."""
        return max((run.broke_ms for run in self._runs.get(key, ())), default=None)

    def is_separate(self, key: str, run: RunInterval) -> bool:
        """Whether an end counts as a separate one for a key with this run.

        It does if the run overlaps with none that another end broke off. A rack that loses power
        ends many upstreams at once, all while they run the few most frequent requests. If each of
        these ends counted, exactly the most frequent requests would be blamed. A request that does
        end upstreams does so again after each end. A new leader gets the reports of ends again from
        each gateway as it connects, so a later end may be known before an earlier one.
        """
        known = self._runs.get(key, ())
        return all(_is_after(run, one) or _is_after(one, run) for one in known)


def _is_after(run: RunInterval, earlier: RunInterval) -> bool:
    return run.began_ms >= earlier.broke_ms - REPORT_JITTER_MS
