"""Learned figures of the engines of one service."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_RELATIVE_CHANGE = 0.15
"""A figure is stored again when it changes by more than this part; a smaller error costs little."""
MIN_RATIO_CHANGE = 0.3
"""The same for the speed of a single engine, which also changes for a while."""


@dataclass(frozen=True, slots=True)
class EngineKind:
    """Figures that hold for every healthy engine of a service.

    They are stored, so that a new leader starts with them. The defaults apply where nothing was
    learned yet.

    Attributes
    ----------
    first_ms : float
        From sending to the first event without prefill: some steps of the engine and the round
        trip.
    ms_per_token : float
        Prefill time for each prompt token. Large models prefill about 20 tokens a ms. A default
        that is too slow makes the first requests wait; one that is too fast makes running streams
        pause.
    prompt_tokens : float
        Usual number of prompt tokens that are not cached.
    gap_ms : float
        Usual time between two events: some steps of a large model.
    load_ms : float
        Time of an adapter load from the weight store.
    ratios : dict of str to float
        Engines whose work usually takes so many times as long as that of the others, by instance;
        missing ones are equal. At most `engine_kinds.MAX_RATIOS`.
    """

    first_ms: float = 25.0
    ms_per_token: float = 0.05
    prompt_tokens: float = 1_000.0
    gap_ms: float = 40.0
    load_ms: float = 290.0
    ratios: dict[str, float] = field(default_factory=dict)

    def differs_from(self, other: EngineKind) -> bool:
        """Whether a figure differs from `other` by enough to be stored again."""
        return (
            _differs(self.first_ms, other.first_ms)
            or _differs(self.ms_per_token, other.ms_per_token)
            or _differs(self.prompt_tokens, other.prompt_tokens)
            or _differs(self.gap_ms, other.gap_ms)
            or _differs(self.load_ms, other.load_ms)
            or self._has_other_ratios(other)
        )

    def _has_other_ratios(self, other: EngineKind) -> bool:
        names = self.ratios.keys() | other.ratios.keys()
        return any(
            _differs(self.ratios.get(name, 1.0), other.ratios.get(name, 1.0), MIN_RATIO_CHANGE)
            for name in names
        )


def _differs(now: float, before: float, by_part: float = MIN_RELATIVE_CHANGE) -> bool:
    return abs(now - before) > by_part * before
