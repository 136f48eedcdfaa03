"""Prefill speed of a service's engines, learned from the first events of their answers."""

from __future__ import annotations

import math

from .engine_kind import EngineKind

STEP = 0.01
"""An answer changes the figures by this part: for engines that answer 30 requests a second, a
figure that is wrong by half is corrected within two seconds."""
FIRST_STEP = 0.02
"""The step of the first answer; it shrinks from there with each answer. Just after a change of
leader, engines have many prompts cached that the leader does not know of. Larger steps take the
first dozen of such answers for fast prefill, and all waiting prompts are sent at once."""
FULL_WEIGHT_TOKENS = 1_000.0
"""A prompt of this length or more counts in full for the prefill speed; a shorter one counts
less."""
PROMPT_WEIGHT = 0.02
"""The usual prompt is that of about the last fifty requests."""
MIN_ANSWERS = 100
"""With a step of one in a hundred, figures that are wrong by half are corrected after this many."""
MIN_MS_PER_TOKEN = 0.002
MAX_MS_PER_TOKEN = 1.0
"""Bounds against faulty measurements: 500 tokens a ms, and one."""
MIN_FIRST_MS = 2.0
MAX_FIRST_MS = 500.0
"""A round trip on a local network, and half of a usual latency objective."""


class PrefillSpeed:
    """Median time to the first event as a linear function of the prompt tokens not cached.

    Each answer moves the line by a small step towards itself, however far off it is, since up to a
    quarter of the answers are misleading: prompts that an engine had cached return at once, and a
    link that loses packets adds seconds. A least-squares fit over such answers halves the slope
    within a second. All prompts are then sent together, and of 1,900 streams 498 paused instead of
    89.

    Attributes
    ----------
    first_ms : float
        Time to the first event of an empty prompt.
    ms_per_token : float
        Prefill time for each prompt token.
    usual_tokens : float
        Usual number of prompt tokens that are not cached.
    """

    def __init__(self, kind: EngineKind) -> None:
        self.first_ms = kind.first_ms
        self.ms_per_token = kind.ms_per_token
        self.usual_tokens = kind.prompt_tokens
        self._answers = 0

    @property
    def is_learned(self) -> bool:
        """Whether enough answers were seen for the figures to be stored."""
        return self._answers >= MIN_ANSWERS

    def expected_ms(self, tokens: float) -> float:
        """Time to the first event after a prefill of so many tokens."""
        return self.first_ms + tokens * self.ms_per_token

    def rescale(self, factor: float) -> None:
        """Multiply the times."""
        self.ms_per_token = min(max(self.ms_per_token * factor, MIN_MS_PER_TOKEN), MAX_MS_PER_TOKEN)
        self.first_ms = min(max(self.first_ms * factor, MIN_FIRST_MS), MAX_FIRST_MS)

    def note_prompt(self, tokens: float) -> None:
        """Record how many prompt tokens of a request need prefill."""
        self.usual_tokens += PROMPT_WEIGHT * (tokens - self.usual_tokens)

    def note(self, tokens: float, took_ms: float) -> None:
        """Record an answer whose first event came `took_ms` after a request with so many tokens."""
        self._answers += 1
        step = math.copysign(
            max(STEP, FIRST_STEP / math.sqrt(self._answers)), took_ms - self.expected_ms(tokens)
        )
        part = min(tokens / FULL_WEIGHT_TOKENS, 1.0)
        slope = self.ms_per_token * (1 + step * part)
        self.ms_per_token = min(max(slope, MIN_MS_PER_TOKEN), MAX_MS_PER_TOKEN)
        first_ms = self.first_ms * (1 + step * (1 - part))
        self.first_ms = min(max(first_ms, MIN_FIRST_MS), MAX_FIRST_MS)
