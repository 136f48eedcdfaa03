"""The one place that counts what organisations use."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..routes import Organisation
from ..settings.quota_bounds import QuotaBounds
from .messages import AnswerQuota, QuotaLevel, QuotaNews
from .return_times import ReturnTimes
from .token_bucket import TokenBucket

START_PART = 0.25
"""Part of the spare units that a leader begins with, as it can't know what was used before it."""
SHORT_PART = 0.35
"""Below this part of its burst, each request of an organisation is asked for. What is left then
is more than gateways let through before they all know."""
TOLD_BY_GATEWAYS_MS = 2_000
"""Gateways follow a new leader within this time; what a later one remembers is old."""
PLENTY_PART = 0.9
"""Well above `SHORT_PART`, so that organisations near their limit don't change all the time."""


class QuotaLedger:
    """A token bucket for each organisation, over all gateways together.

    Gateways let requests through by themselves and tell afterwards, as long as an organisation has
    plenty, so that nobody waits for a word from here. Of one that is short each request is asked
    for. What was let through meanwhile is in the bucket as a debt, and is waited for.
    """

    def __init__(self, bounds: QuotaBounds, clock: Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}
        self._return_times = ReturnTimes()
        self._short: set[str] = set()
        self._told: frozenset[str] = frozenset()
        self._emptied: set[str] = set()
        self._begun_ms = clock.now_ms()

    def use(self, organisations: Iterable[Organisation]) -> None:
        """Take over the limits that are in force now."""
        limited = {one.name: one for one in organisations if one.quota.limited}
        for name in self._buckets.keys() - limited.keys():
            del self._buckets[name]
            self._short.discard(name)
            self._return_times.forget(name)
        for name, organisation in limited.items():
            self._use_one(name, organisation)

    def _use_one(self, name: str, organisation: Organisation) -> None:
        now_ms = self._clock.now_ms()
        per_s, size = organisation.quota.per_s, organisation.quota.burst
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.resize(per_s, size, now_ms)
            self._note(name, bucket)
            return
        # The leader before may have let a full burst through a moment ago. A second one right
        # after it would exceed the bound; an empty bucket would refuse what everybody may ask.
        # Gateways tell who was short; of all others more than this was left.
        level = START_PART * self._bounds.spare(organisation.quota)
        self._buckets[name] = TokenBucket(per_s, size, level, now_ms)
        self._note(name, self._buckets[name])

    def were_short(self, organisations: Iterable[str]) -> None:
        """Take over from a gateway who was short under the leader before."""
        now_ms = self._clock.now_ms()
        if now_ms > self._begun_ms + TOLD_BY_GATEWAYS_MS:
            return
        for name in self._buckets.keys() & set(organisations) - self._emptied:
            self._emptied.add(name)
            self.charge(name, max(self._buckets[name].level(now_ms), 0.0))

    def charge(self, organisation: str, units: float) -> None:
        """Count what a gateway let through, or give back what never ran."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.take(units, self._clock.now_ms())
            self._note(organisation, bucket)

    def ask(self, number: int, organisation: str, units: float) -> AnswerQuota:
        """Say whether a request may pass, and count it if so."""
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return AnswerQuota(number, True)
        now_ms = self._clock.now_ms()
        # A request is within the quota if the bucket holds all of it; one that is larger than the
        # bucket, if that is full. Letting through a little more instead takes from those behind it
        # what is theirs.
        if bucket.level(now_ms) >= min(units, bucket.size):
            bucket.take(units, now_ms)
            self._note(organisation, bucket)
            return AnswerQuota(number, True)
        free_ms = bucket.until_ms(min(units, bucket.size), now_ms)
        step_ms = units * 1000 / bucket.per_s
        wait_ms = self._return_times.wait_ms(organisation, free_ms, step_ms, now_ms)
        return AnswerQuota(number, False, wait_ms)

    def _note(self, name: str, bucket: TokenBucket) -> None:
        if bucket.level(self._clock.now_ms()) < SHORT_PART * bucket.size:
            self._short.add(name)

    def levels(self) -> tuple[QuotaLevel, ...]:
        """What is left now, by name."""
        now_ms = self._clock.now_ms()
        return tuple(
            QuotaLevel(name, bucket.per_s, bucket.level(now_ms), name in self._short)
            for name, bucket in sorted(self._buckets.items())
        )

    # What gateways must know

    def whole_news(self) -> QuotaNews:
        """All that a gateway must know which has just come."""
        return QuotaNews(True, tuple(sorted(self._told)))

    def news(self) -> QuotaNews | None:
        """What changed since the last call; None if nothing did."""
        now_ms = self._clock.now_ms()
        for name in tuple(self._short):
            bucket = self._buckets[name]
            if bucket.level(now_ms) >= PLENTY_PART * bucket.size:
                self._short.discard(name)
                self._return_times.forget(name)
        short = frozenset(self._short)
        added, dropped = short - self._told, self._told - short
        self._told = short
        if not added and not dropped:
            return None
        return QuotaNews(False, tuple(sorted(added)), tuple(sorted(dropped)))
