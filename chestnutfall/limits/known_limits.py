"""What a gateway knows of the limits that upstreams name."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from ..clock import Clock
from .latest_word import LatestWord
from .limit_word import LimitWord, Named, Unnamed, Unreadable
from .lone_sends import LONE_PART, LoneSends
from .messages import HeardLimit, LimitsInForce

log = logging.getLogger(__name__)
MOST_LIMITS = 4_096
"""Upstreams whose limits one gateway remembers; those that were heard of last are kept."""


class KnownLimits:
    """Tells the leader what answers say, and keeps what holds for all gateways.

    Parameters
    ----------
    tell : callable
        Sends a message to the leader, if there is one.
    gateways : callable
        How many gateways share what upstreams take.
    lone_part : float
        Part of a limit that gateways share who send without a word from anybody.
    """

    def __init__(
        self,
        tell: Callable[[HeardLimit], None],
        gateways: Callable[[], int],
        clock: Clock,
        rng: random.Random,
        lone_part: float = LONE_PART,
    ) -> None:
        self._tell = tell
        self._clock = clock
        self._words: dict[str, LatestWord] = {}
        self._unreadable: dict[str, str] = {}
        self._lone = LoneSends(gateways, clock, rng, lone_part)

    def __len__(self) -> int:
        return len(self._words)

    def per_s(self, instance: str) -> float | None:
        """Requests a second that an upstream takes; None for no limit."""
        word = self._words.get(instance)
        return word.per_s if word is not None else None

    def hear(self, instance: str, word: LimitWord, sent_ms: int, succeeded: bool) -> None:
        """Take in what the answer to a request said that was sent at `sent_ms`.

        Parameters
        ----------
        succeeded : bool
            Whether it was a success. A failure may come from a part of the upstream that knows
            nothing of its limit, so that it ends none.
        """
        match word:
            case Named(per_s):
                self._note(instance, per_s, sent_ms)
            case Unnamed() if succeeded and instance in self._words:
                self._note(instance, None, sent_ms)
            case Unreadable(text) if self._unreadable.get(instance) != text:
                log.warning(
                    "limit: instance=%s unreadable %r, a number is expected", instance, text
                )
                self._unreadable[instance] = text
                if len(self._unreadable) > MOST_LIMITS:
                    self._unreadable.pop(next(iter(self._unreadable)))
            case _:
                pass

    def _note(self, instance: str, per_s: float | None, sent_ms: int) -> None:
        now_ms = self._clock.now_ms()
        self._take(instance, per_s, sent_ms, now_ms)
        self._tell(HeardLimit(instance, per_s, now_ms - sent_ms))

    def _take(self, instance: str, per_s: float | None, asked_ms: float, heard_ms: float) -> None:
        # What was heard of last stands last.
        word = self._words.pop(instance, None) or LatestWord()
        word.take(per_s, asked_ms, heard_ms)
        if word.per_s is None:
            return
        self._words[instance] = word
        if len(self._words) > MOST_LIMITS:
            self._words.pop(next(iter(self._words)))

    def take(self, told: LimitsInForce) -> None:
        """Take over what the leader tells; it has heard of all gateways' answers."""
        now_ms = self._clock.now_ms()
        for instance in told.ended:
            self._words.pop(instance, None)
        for limit in told.limits:
            self._take(limit.instance, limit.per_s, now_ms, now_ms)

    def again(self) -> tuple[HeardLimit, ...]:
        """What to tell a leader that has just begun."""
        self._lone.leader_found()
        now_ms = self._clock.now_ms()
        return tuple(_as_heard(name, word, now_ms) for name, word in self._words.items())

    def heard(self, instance: str) -> HeardLimit | None:
        """What to tell somebody who decides about one upstream."""
        word = self._words.get(instance)
        return _as_heard(instance, word, self._clock.now_ms()) if word is not None else None

    def may_send_alone(self, instance: str) -> bool:
        """Whether this gateway may send a request there without a leader; counts it if so."""
        per_s = self.per_s(instance)
        return per_s is None or self._lone.take(instance, per_s)

    def lone_step_ms(self, instance: str) -> float:
        """Time between two requests that this gateway may send there by itself."""
        per_s = self.per_s(instance)
        return self._lone.step_ms(per_s) if per_s is not None else 0.0


def _as_heard(instance: str, word: LatestWord, now_ms: int) -> HeardLimit:
    asked_ago_ms, heard_ago_ms = int(now_ms - word.asked_ms), int(now_ms - word.heard_ms)
    return HeardLimit(instance, word.per_s, asked_ago_ms, heard_ago_ms)
