"""Connections to an engine that failed in the course of one run."""

from __future__ import annotations

from dataclasses import dataclass

from ..engine_edge import EngineBroken, EngineRefused

MAX_RESUMES = 3
"""Connections of one run that may end before its answer does, each time with a resume."""
RESUME_BACKOFF_MS = 50
"""Delay before the first resume; each further one waits longer by as much."""
MAX_RESUME_WAIT_MS = 1_000
"""Longest such delay: a cut that is over is noticed within about a second."""


@dataclass(slots=True)
class RunLosses:
    """Decides whether a run may be resumed once more, and when.

    An engine that is silent or not reached still has the run, and may go on for as long as its
    caller waits; only connections that ended are counted.

    Attributes
    ----------
    heard_ms : int
        Clock time at which the run was sent, or its last event came.
    lost : int
        Connections that ended.
    unreached : int
        Connections that did not open, one after the other.
    """

    heard_ms: int
    lost: int = 0
    unreached: int = 0

    def note_heard(self, now_ms: int) -> None:
        """Record that events came."""
        self.heard_ms = now_ms
        self.unreached = 0

    def note(self, exc: EngineBroken | EngineRefused) -> None:
        """Record a connection that failed."""
        if _is_unreached(exc):
            self.unreached += 1
        elif not _is_silence(exc):
            self.lost += 1

    def is_over(self, exc: EngineBroken | EngineRefused, now_ms: int, begin_ms: int) -> bool:
        """Whether the run is given up after `exc`.

        Parameters
        ----------
        begin_ms : int
            Longest time without an event while the engine is silent or not reached. It is the time
            that the caller allows for the first event.
        """
        held = _is_silence(exc) or _is_unreached(exc)
        late = held and now_ms >= self.heard_ms + begin_ms
        return late or self.lost > MAX_RESUMES

    @property
    def wait_ms(self) -> int:
        """Delay before the next resume."""
        return min(RESUME_BACKOFF_MS * max(self.lost + self.unreached, 1), MAX_RESUME_WAIT_MS)


def _is_silence(exc: EngineBroken | EngineRefused) -> bool:
    return isinstance(exc, EngineBroken) and exc.is_silence


def _is_unreached(exc: EngineBroken | EngineRefused) -> bool:
    return isinstance(exc, EngineRefused) and exc.is_unreached
