"""What was learned of the engines of one service."""

from __future__ import annotations

from dataclasses import dataclass

MOVED = 0.15
"""Part by which a figure moves before it is told again; a smaller error costs little."""


@dataclass(frozen=True, slots=True)
class EngineKind:
    """Figures that hold for every engine of a service while nothing is wrong with it.

    The defaults are what is expected where nothing was learned yet.

    Attributes
    ----------
    first_ms : float
        From sending to the first event, without reading: some steps, and the way there and back.
    ms_per_token : float
        Reading of a prompt. Large models read about 20 tokens a ms; too slow a guess costs the
        first requests some waiting, too fast a one costs others their pauses.
    prompt_tokens : float
        Usual part of a prompt that is to be read.
    gap_ms : float
        Usual time between two events: some steps of a large model.
    load_ms : float
        Load of an adapter from the weight store.
    """

    first_ms: float = 25.0
    ms_per_token: float = 0.05
    prompt_tokens: float = 1_000.0
    gap_ms: float = 40.0
    load_ms: float = 290.0

    def has_moved_from(self, other: EngineKind) -> bool:
        """Whether a figure differs by more than is worth telling."""
        return (
            _moved(self.first_ms, other.first_ms)
            or _moved(self.ms_per_token, other.ms_per_token)
            or _moved(self.prompt_tokens, other.prompt_tokens)
            or _moved(self.gap_ms, other.gap_ms)
            or _moved(self.load_ms, other.load_ms)
        )


def _moved(now: float, before: float) -> bool:
    return abs(now - before) > MOVED * before
