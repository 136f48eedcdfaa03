"""How fast one engine works, compared with the others of its service."""

from __future__ import annotations

from .reported_slowdown import FRESH_MS, ReportedSlowdown

MIN_STEP = 0.01
MAX_STEP = 0.15
"""An answer moves the usual ratio by a part between these towards its own ratio, and never past it.
A fourth of the answers may be misleading: cached prompts, lost packets, spells of other work."""
STEP_GROWTH = 1.25
"""The step grows by this factor while answers agree on the direction, and is halved by one that
doesn't: an engine that turns five times as slow is known after about twenty answers, while
answers that scatter around the ratio move it by a few parts in a hundred."""
MAX_RATIO = 16.0
"""A ratio beyond this is no speed: the answer was held up on its way, by a cut or lost packets."""
EQUAL_WITHIN = 1.25
"""Up to this ratio an engine counts as equal to its service, and contributes to its figures.
Prompts that wait for one another make a busy engine seem slower by a tenth or two. A faster one
counts as equal, too: prompts that are processed together make a busy engine seem faster than
expected, and it would attract more of them."""
TOGETHER_MS = 10
"""Of answers that come within this time, one counts: after a cut, all that it held up come at
once."""
IDLE_MS = 2_000
"""After this time without an answer the ratio moves back towards 1, so that an engine that gets no
requests is tried again."""
IDLE_DECAY = 0.85
"""Part of the deviation, on a logarithmic scale, that is left after each further second: an engine
five times as slow is tried after about ten seconds."""


class EngineSpeed:
    """The usual speed of an engine, learned over seconds, and what slows it down at this moment.

    Speeds are ratios of the time that work takes to the time that it takes on the service's
    engines: 2 is half as fast. Ratios make answers to long and short prompts comparable.

    Parameters
    ----------
    usual : float
        Ratio to begin with, as an earlier leader learned it.

    Attributes
    ----------
    usual : float
        Learned ratio, without what answers report of this moment.
    slowness : float
        Ratio that holds now: the usual one, where it differs enough, times the reported slowdown.
    reported : float
        The reported slowdown alone; 1 where none is in force.
    slow_since_ms : int or None
        Clock time since which the usual ratio is above `EQUAL_WITHIN`; None if it is not.
    """

    def __init__(self, usual: float = 1.0) -> None:
        self.usual = usual
        self.reported = 1.0
        self.slowness = self.usual_factor
        self.slow_since_ms: int | None = None
        self._report = ReportedSlowdown()
        self._step = MIN_STEP
        self._was_up = False
        self._noted_ms = -TOGETHER_MS

    @property
    def usual_factor(self) -> float:
        """The usual ratio; 1 where the engine counts as equal."""
        return self.usual if self.is_slow else 1.0

    @property
    def is_slow(self) -> bool:
        """Whether the engine is usually slower than its service."""
        return self.usual > EQUAL_WITHIN

    def stretched_ms(self, work_ms: float) -> float:
        """Time that work takes from now on if it usually takes `work_ms` on this engine.

        A spell of other work is expected to end after the time for which a report counts.
        """
        if self.reported == 1:
            return work_ms
        return work_ms + min(work_ms * (self.reported - 1), FRESH_MS * (1 - 1 / self.reported))

    def note_answer(self, ratio: float, now_ms: int) -> None:
        """Update the usual ratio by that of one answer."""
        if not 1 / MAX_RATIO <= ratio <= MAX_RATIO or now_ms - self._noted_ms < TOGETHER_MS:
            return
        self._noted_ms = now_ms
        is_up = ratio > self.usual
        grown = self._step * STEP_GROWTH if is_up == self._was_up else self._step / 2
        self._step = min(max(grown, MIN_STEP), MAX_STEP)
        self._was_up = is_up
        if is_up:
            usual = min(self.usual * (1 + self._step), ratio)
        else:
            usual = max(self.usual / (1 + self._step), ratio)
        self._set_usual(usual, now_ms)

    def note_report(self, slowdown: float, now_ms: int) -> None:
        """Record the slowdown that an answer reported when it began."""
        self._report.note(slowdown, now_ms)
        self.refresh(now_ms)

    def refresh(self, now_ms: int) -> bool:
        """Drop a report that no longer counts; return whether one is in force."""
        self.reported = self._report.factor(now_ms)
        self.slowness = self.usual_factor * self.reported
        return self.reported > 1

    def rescale(self, factor: float, now_ms: int) -> None:
        """Multiply the usual ratio, after the figures of the service were divided by `factor`."""
        self._set_usual(self.usual * factor, now_ms)

    def decay_if_idle(self, now_ms: int) -> None:
        """Move the usual ratio towards 1 if there was no answer lately; called each second."""
        if now_ms - self._noted_ms > IDLE_MS:
            self._set_usual(self.usual**IDLE_DECAY, now_ms)

    def _set_usual(self, usual: float, now_ms: int) -> None:
        self.usual = min(max(usual, 1 / MAX_RATIO), MAX_RATIO)
        self.slowness = self.usual_factor * self.reported
        if not self.is_slow:
            self.slow_since_ms = None
        elif self.slow_since_ms is None:
            self.slow_since_ms = now_ms
