"""Which upstreams want no work from this gateway, and until when."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import TypeVar

from ..clock import Clock
from .backoff_word import AskedBackoff, UnreadableBackoff
from .messages import BackoffHints, HeardBackoff
from .upstream_signals import UpstreamSignals

log = logging.getLogger(__name__)
Value = TypeVar("Value")
MOST_BACKOFFS = 4_096
"""Upstreams that one gateway remembers; those that were heard of last are kept."""


class KnownBackoffs:
    """What answers to this gateway asked for, and what other gateways were asked.

    A word holds for one incarnation: whoever follows it at its address has another name.

    Parameters
    ----------
    tell : callable
        Sends a message to who decides about the upstream, if there is anybody.
    """

    def __init__(self, tell: Callable[[HeardBackoff], None], clock: Clock) -> None:
        self._tell = tell
        self._clock = clock
        self._until_ms: dict[str, float] = {}
        self._doubtful_until_ms: dict[str, float] = {}
        self._unreadable: dict[str, str] = {}

    def __len__(self) -> int:
        """Upstreams that want no work now."""
        now_ms = self._clock.now_ms()
        return sum(until_ms > now_ms for until_ms in self._until_ms.values())

    def hear(self, instance: str, signals: UpstreamSignals) -> None:
        """Take in what an answer says."""
        now_ms = self._clock.now_ms()
        if signals.leaving:
            self._hold(instance, math.inf)
        match signals.backoff:
            case AskedBackoff(ms):
                self._hold(instance, now_ms + ms)
            case UnreadableBackoff(text) if self._unreadable.get(instance) != text:
                log.warning(
                    "backoff: instance=%s unreadable %r, a time is expected", instance, text
                )
                _keep_newest(self._unreadable, instance, text)
            case _:
                pass

    def _hold(self, instance: str, until_ms: float) -> None:
        # Answers overtake each other, and each one's time was asked for: the last end holds.
        if until_ms <= self._until_ms.get(instance, self._clock.now_ms()):
            return
        _keep_newest(self._until_ms, instance, until_ms)
        self._tell(self._heard(instance, until_ms))

    def _heard(self, instance: str, until_ms: float) -> HeardBackoff:
        left_ms = until_ms - self._clock.now_ms()
        return HeardBackoff(instance, None if math.isinf(left_ms) else math.ceil(left_ms))

    def again(self) -> tuple[HeardBackoff, ...]:
        """What to tell somebody who has just begun to decide."""
        now_ms = self._clock.now_ms()
        held = self._until_ms.items()
        return tuple(self._heard(name, until_ms) for name, until_ms in held if until_ms > now_ms)

    def heard(self, instance: str) -> HeardBackoff | None:
        """What to tell somebody who decides about one upstream."""
        until_ms = self._until_ms.get(instance, -math.inf)
        return self._heard(instance, until_ms) if until_ms > self._clock.now_ms() else None

    def left_ms(self, instance: str) -> float:
        """Time until an upstream takes work from this gateway; endless if it leaves."""
        until_ms = self._until_ms.get(instance)
        return max(until_ms - self._clock.now_ms(), 0.0) if until_ms is not None else 0.0

    # What others were asked

    def take_hints(self, told: BackoffHints) -> None:
        """Take over which upstreams asked other gateways for time."""
        now_ms = self._clock.now_ms()
        for hint in told.hints:
            until_ms = math.inf if hint.left_ms is None else now_ms + hint.left_ms
            _keep_newest(self._doubtful_until_ms, hint.instance, until_ms)

    def is_doubtful(self, instance: str) -> bool:
        """Whether an upstream would probably turn a request away."""
        return self._doubtful_until_ms.get(instance, -math.inf) > self._clock.now_ms()

    def note_served(self, instance: str) -> None:
        """Note a success: it wants time from others only."""
        if not math.isinf(self._doubtful_until_ms.get(instance, -math.inf)):
            self._doubtful_until_ms.pop(instance, None)


def _keep_newest(held: dict[str, Value], instance: str, value: Value) -> None:
    held.pop(instance, None)
    held[instance] = value
    if len(held) > MOST_BACKOFFS:
        held.pop(next(iter(held)))
