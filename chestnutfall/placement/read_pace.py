"""How fast the engines of a service read prompts, learned from the first events of answers."""

from __future__ import annotations

import math

from .engine_kind import EngineKind

STEP = 0.01
"""An answer moves the figures by this part: of engines that answer 30 requests a second, a figure
that is wrong by half is corrected within two seconds."""
FIRST_STEP = 0.02
"""The same for the first answer; the step shrinks from there with each answer. Just after a change
of leader many prompts are still kept by engines that are not known to keep them; larger steps
took the first dozen of such answers for fast reading, and all that waited went through at once."""
ORDINARY_TOKENS = 1_000.0
"""A prompt this long tells of reading as much as any; a shorter one tells less of it."""
PROMPT_WEIGHT = 0.02
"""The usual prompt is that of the last fifty requests."""
ENOUGH_ANSWERS = 100
"""At a step of one in a hundred, figures that were wrong by half are right after these."""
LEAST_MS_PER_TOKEN = 0.002
MOST_MS_PER_TOKEN = 1.0
"""Bounds against broken measurements: 500 tokens a ms, and one."""
LEAST_FIRST_MS = 2.0
MOST_FIRST_MS = 500.0
"""A round trip on a local network, and half of a usual latency objective."""


class ReadPace:
    """Median of the time to the first event as a line over the tokens read until then.

    Each answer moves the line by a small step towards itself, however far off it is. A quarter of
    the answers may tell something else: prompts that an engine still kept come at once, a link
    that loses packets adds seconds. A least-squares fit over such answers halved the slope within
    a second; everyone's prompts then went through together, and of 1,900 streams of one day 498
    paused instead of 89.
    """

    def __init__(self, kind: EngineKind) -> None:
        self.first_ms = kind.first_ms
        self.ms_per_token = kind.ms_per_token
        self.usual_tokens = kind.prompt_tokens
        self._answers = 0

    @property
    def is_learned(self) -> bool:
        """Whether so many engines answered that the figures are worth telling."""
        return self._answers >= ENOUGH_ANSWERS

    def expected_ms(self, tokens: float) -> float:
        """Time to the first event after so many tokens of reading."""
        return self.first_ms + tokens * self.ms_per_token

    def note_prompt(self, tokens: float) -> None:
        """Take in how much of a prompt was to be read."""
        self.usual_tokens += PROMPT_WEIGHT * (tokens - self.usual_tokens)

    def note(self, tokens: float, took_ms: float) -> None:
        """Take in an answer whose first event came after `took_ms` and so many tokens."""
        self._answers += 1
        step = math.copysign(
            max(STEP, FIRST_STEP / math.sqrt(self._answers)), took_ms - self.expected_ms(tokens)
        )
        part = min(tokens / ORDINARY_TOKENS, 1.0)
        slope = self.ms_per_token * (1 + step * part)
        self.ms_per_token = min(max(slope, LEAST_MS_PER_TOKEN), MOST_MS_PER_TOKEN)
        first_ms = self.first_ms * (1 + step * (1 - part))
        self.first_ms = min(max(first_ms, LEAST_FIRST_MS), MOST_FIRST_MS)
