"""Which engines a round of decisions looks at."""

from __future__ import annotations

import random
from collections.abc import Iterable

from .adapter_name import AdapterName
from .engine import Engine
from .holder_index import HolderIndex

MOST_WEIGHED = 96
"""Engines that a round looks at all of. Beyond that the leader's work for a request would grow with
the engines until it can't keep up with the requests."""
DRAWN = 64
"""The best of so many drawn by chance is about as good as the best of all."""


class WeighedEngines:
    """All engines of a service where they are few; else those that matter and some by chance.

    What matters are engines that have an adapter which waits for a place. The others are drawn anew
    in each round, so that a request which found no place in one is tried elsewhere in the next.
    They are drawn among those whose reports are known: a new leader before thousands of engines has
    few reports in its first seconds, and an engine without one takes no load.
    """

    def __init__(self, index: HolderIndex) -> None:
        self._index = index
        self._rng = random.Random(0)

    def of(self, engines: list[Engine], wanted: Iterable[AdapterName]) -> list[Engine]:
        """Choose among `engines`, all of one service, for the adapters that are wanted."""
        if len(engines) <= MOST_WEIGHED:
            return engines
        known = [one for one in engines if one.synced]
        drawn_from = known if len(known) >= DRAWN else engines
        chosen = {one.instance: one for one in self._rng.sample(drawn_from, DRAWN)}
        if drawn_from is engines:
            chosen.update((one.instance, one) for one in known)
        service = engines[0].service
        for name in wanted:
            if name.adapter:
                holders = self._index.of(name)
                chosen.update((one.instance, one) for one in holders if one.service == service)
        return list(chosen.values())
