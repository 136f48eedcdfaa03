"""The count of what organisations use, kept by the leader."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..routes import Organisation
from ..settings.quota_bounds import QuotaBounds
from .messages import AnswerQuota, QuotaLevel, QuotaNews
from .retry_schedule import RetrySchedule
from .token_bucket import TokenBucket

START_FRACTION = 0.25
"""Fraction of the spare units in each bucket at the start of a term, since a new leader can't know
what was used before."""
SHORT_FRACTION = 0.35
"""Below this fraction of its burst an organisation is short, and gateways must ask for each of its
requests. What is left then is more than gateways admit before all of them know."""
SHORT_REPORTS_MS = 2_000
"""Gateways connect to a new leader within this time; reports of later ones are out of date."""
PLENTY_FRACTION = 0.9
"""At this fraction of its burst an organisation is no longer short; well above `SHORT_FRACTION`, so
that organisations near their quota don't change state all the time."""


class QuotaLedger:
    """A token bucket for each organisation, over all gateways together.

    While an organisation has plenty left, gateways admit its requests on their own and report them
    afterwards, so that no request waits for the leader. While it is short, gateways ask for each
    request. What gateways admit before they learn that it is short can put the bucket in debt,
    and later requests wait until that is filled.
    """

    def __init__(self, bounds: QuotaBounds, clock: Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}
        self._retry_schedule = RetrySchedule()
        self._short: set[str] = set()
        self._announced: frozenset[str] = frozenset()
        self._emptied: set[str] = set()
        self._started_ms = clock.now_ms()

    def apply_quotas(self, organisations: Iterable[Organisation]) -> None:
        """Apply the quotas that are in force now; organisations without a limit are not counted."""
        limited = {one.name: one for one in organisations if one.quota.limited}
        for name in self._buckets.keys() - limited.keys():
            del self._buckets[name]
            self._short.discard(name)
            self._retry_schedule.forget(name)
        for name, organisation in limited.items():
            self._apply_quota(name, organisation)

    def _apply_quota(self, name: str, organisation: Organisation) -> None:
        now_ms = self._clock.now_ms()
        per_s, size = organisation.quota.per_s, organisation.quota.burst
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.resize(per_s, size, now_ms)
            self._note(name, bucket)
            return
        # The previous leader may have admitted a full burst a moment ago. A second one right
        # after it would exceed the bound, and an empty bucket would refuse requests within the
        # quota. Gateways report which organisations were short; all others had more left.
        level = START_FRACTION * self._bounds.spare(organisation.quota)
        self._buckets[name] = TokenBucket(per_s, size, level, now_ms)
        self._note(name, self._buckets[name])

    def note_short(self, organisations: Iterable[str]) -> None:
        """Empty the buckets of organisations that a gateway reports as short under the last leader.

        Ignored later than `SHORT_REPORTS_MS` after the start; each bucket is emptied only once.
        """
        now_ms = self._clock.now_ms()
        if now_ms > self._started_ms + SHORT_REPORTS_MS:
            return
        for name in self._buckets.keys() & set(organisations) - self._emptied:
            self._emptied.add(name)
            self.charge(name, max(self._buckets[name].level(now_ms), 0.0))

    def charge(self, organisation: str, units: float) -> None:
        """Count units that a gateway admitted; negative units are given back."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.take(units, self._clock.now_ms())
            self._note(organisation, bucket)

    def ask(self, number: int, organisation: str, units: float) -> AnswerQuota:
        """Decide whether a request may pass, and count it if so.

        Parameters
        ----------
        number : int
            Number of the question, repeated in the answer.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return AnswerQuota(number, True)
        now_ms = self._clock.now_ms()
        # A request is within the quota if the bucket holds all its units, or is full if the request
        # is larger than the bucket. Admitting a little more than that would take units to which
        # later requests are entitled.
        if bucket.level(now_ms) >= min(units, bucket.size):
            bucket.take(units, now_ms)
            self._note(organisation, bucket)
            return AnswerQuota(number, True)
        free_ms = bucket.until_ms(min(units, bucket.size), now_ms)
        step_ms = units * 1000 / bucket.per_s
        wait_ms = self._retry_schedule.wait_ms(organisation, free_ms, step_ms, now_ms)
        return AnswerQuota(number, False, wait_ms)

    def _note(self, name: str, bucket: TokenBucket) -> None:
        if bucket.level(self._clock.now_ms()) < SHORT_FRACTION * bucket.size:
            self._short.add(name)

    def levels(self) -> tuple[QuotaLevel, ...]:
        """What is left of each quota now, sorted by name."""
        now_ms = self._clock.now_ms()
        return tuple(
            QuotaLevel(name, bucket.per_s, bucket.level(now_ms), name in self._short)
            for name, bucket in sorted(self._buckets.items())
        )

    # News for gateways

    def full_update(self) -> QuotaNews:
        """All organisations that are short, for a gateway that has just connected."""
        return QuotaNews(True, tuple(sorted(self._announced)))

    def next_update(self) -> QuotaNews | None:
        """Changes since the last call, for all connected gateways; None if there are none."""
        now_ms = self._clock.now_ms()
        for name in tuple(self._short):
            bucket = self._buckets[name]
            if bucket.level(now_ms) >= PLENTY_FRACTION * bucket.size:
                self._short.discard(name)
                self._retry_schedule.forget(name)
        short = frozenset(self._short)
        added, dropped = short - self._announced, self._announced - short
        self._announced = short
        if not added and not dropped:
            return None
        return QuotaNews(False, tuple(sorted(added)), tuple(sorted(dropped)))
