"""Which upstreams asked which gateways for time, where places are given."""

from __future__ import annotations

import logging
import math
from collections.abc import Collection, Iterator

from ..clock import Clock
from .messages import HeardBackoff
from .upstream_backoff import UpstreamBackoff

log = logging.getLogger(__name__)
MOST_ABSENT = 1_024
"""Upstreams that are kept while they take no work; they may be back in a moment."""


class BackoffBook:
    """One `UpstreamBackoff` for each upstream that was asked for."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._backoffs: dict[str, UpstreamBackoff] = {}

    def of(self, instance: str) -> UpstreamBackoff:
        """What is known of an upstream, begun if nothing is."""
        if instance not in self._backoffs:
            self._backoffs[instance] = UpstreamBackoff()
        return self._backoffs[instance]

    def hear(self, gateway: str, heard: HeardBackoff) -> bool:
        """Take in a gateway's word; whether it is news to the other gateways."""
        now_ms = self._clock.now_ms()
        until_ms = math.inf if heard.left_ms is None else now_ms + heard.left_ms
        backoff = self.of(heard.instance)
        was_doubtful = backoff.is_doubtful(now_ms)
        is_news = backoff.hear(gateway, until_ms, now_ms)
        if is_news and not was_doubtful:
            log.info(
                "backoff: instance=%s gateway=%s left=%s", heard.instance, gateway, heard.left_ms
            )
        return is_news

    def may_send(self, gateway: str, instance: str) -> bool:
        """Whether a gateway may send a request to an upstream."""
        backoff = self._backoffs.get(instance)
        return backoff is None or not backoff.wait_ms(gateway, self._clock.now_ms())

    def doubtful(self) -> Iterator[HeardBackoff]:
        """Yield upstreams that asked any gateway for time that is not over."""
        now_ms = self._clock.now_ms()
        for instance, backoff in self._backoffs.items():
            if backoff.is_doubtful(now_ms):
                left_ms = backoff.doubtful_until_ms - now_ms
                yield HeardBackoff(instance, None if math.isinf(left_ms) else math.ceil(left_ms))

    def forget_gateway(self, gateway: str) -> None:
        """Drop the words to a gateway that is gone."""
        for backoff in self._backoffs.values():
            backoff.forget(gateway)

    def forget_absent(self, present: Collection[str]) -> None:
        """Drop what is known of upstreams that take no work, but for the last ones."""
        now_ms = self._clock.now_ms()
        absent = [instance for instance in self._backoffs if instance not in present]
        doubtful = [one for one in absent if self._backoffs[one].is_doubtful(now_ms)]
        kept = set(doubtful[-MOST_ABSENT:])
        for instance in absent:
            if instance not in kept:
                del self._backoffs[instance]
