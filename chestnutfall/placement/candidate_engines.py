"""Selection of the engines that a decision round considers."""

from __future__ import annotations

import random
from collections.abc import Iterable

from .adapter_name import AdapterName
from .engine import Engine
from .holder_index import HolderIndex

SAMPLING_THRESHOLD = 96
"""Up to this many engines a round considers all of them. Beyond it the leader's work for a request
would grow with the engines until the leader can't keep up with the requests."""
SAMPLE_SIZE = 64
"""The best engine of a random sample of this size is about as good as the best of all."""


class CandidateEngines:
    """All engines of a service if they are few; otherwise the relevant ones and a random sample.

    Relevant engines have an adapter that some request waits for. The sample is drawn anew in each
    round, so that a request that found no place is tried elsewhere in the next one. It is drawn
    among the engines whose reports are known: a new leader with thousands of engines has few
    reports in its first seconds, and an engine without a report gets no load.
    """

    def __init__(self, index: HolderIndex) -> None:
        self._index = index
        self._rng = random.Random(0)

    def select(self, engines: list[Engine], wanted: Iterable[AdapterName]) -> list[Engine]:
        """Select among `engines`, all of one service, for the adapters that requests wait for."""
        if len(engines) <= SAMPLING_THRESHOLD:
            return engines
        known = [one for one in engines if one.synced]
        drawn_from = known if len(known) >= SAMPLE_SIZE else engines
        chosen = {one.instance: one for one in self._rng.sample(drawn_from, SAMPLE_SIZE)}
        if drawn_from is engines:
            chosen.update((one.instance, one) for one in known)
        service = engines[0].service
        for name in wanted:
            if name.adapter:
                holders = self._index.of(name)
                chosen.update((one.instance, one) for one in holders if one.service == service)
        return list(chosen.values())
