"""Places that are given out at the upstreams of plain services."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

Gateway = TypeVar("Gateway")
"""Identifies one gateway; hashable."""


@dataclass(frozen=True, slots=True)
class _Credit:
    """A place that one call holds at an upstream until `until_ms`."""

    instance: str
    until_ms: float


class RoomLedger(Generic[Gateway]):
    """Counts the places that calls hold. Each one expires by itself.

    A gateway that ends, freezes or can't reach the leader doesn't say that its calls ended. The
    expiry returns their places.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[Gateway, int], _Credit] = {}
        self._used: Counter[str] = Counter()
        self._expiries: list[tuple[float, int, tuple[Gateway, int]]] = []
        self._order = itertools.count()
        self._reported = itertools.count(-1, -1)

    def __len__(self) -> int:
        return len(self._credits)

    def used(self, instance: str) -> int:
        """Number of places that calls hold at an upstream."""
        return self._used[instance]

    def take(self, gateway: Gateway, number: int, instance: str, until_ms: float) -> None:
        """Give a place to call `number` of a gateway."""
        key = (gateway, number)
        self._remove(key)
        self._credits[key] = _Credit(instance, until_ms)
        self._used[instance] += 1
        heapq.heappush(self._expiries, (until_ms, next(self._order), key))

    def end(self, gateway: Gateway, number: int, instance: str) -> None:
        """Return the place of call `number`.

        A call that began before this leader's term has no place of that number, but one that its
        gateway reported.
        """
        if self._remove((gateway, number)) or not instance:
            return
        for key, credit in self._credits.items():
            if key[0] == gateway and key[1] < 0 and credit.instance == instance:
                self._remove(key)
                return

    def set_running(self, gateway: Gateway, running: Mapping[str, int], until_ms: float) -> None:
        """Replace the calls that a gateway reported as running by `running`, by upstream."""
        for key in [one for one in self._credits if one[0] == gateway and one[1] < 0]:
            self._remove(key)
        for instance, count in running.items():
            for _ in range(count):
                self.take(gateway, next(self._reported), instance, until_ms)

    def shorten(self, gateway: Gateway, until_ms: float) -> None:
        """Let the places of a gateway whose session ended expire at `until_ms` at the latest.

        Its calls may still run, so their places are not free at once.
        """
        for key in [one for one in self._credits if one[0] == gateway]:
            credit = self._credits[key]
            if credit.until_ms > until_ms:
                self.take(gateway, key[1], credit.instance, until_ms)

    def expire(self, now_ms: int) -> int:
        """Return all places whose time is over; return their number."""
        expired = 0
        while self._expiries and self._expiries[0][0] <= now_ms:
            until_ms, _, key = heapq.heappop(self._expiries)
            credit = self._credits.get(key)
            if credit is not None and credit.until_ms == until_ms:
                expired += self._remove(key)
        # Expiries of calls that ended early stay in the heap; this bounds their number.
        if len(self._expiries) > 2 * len(self._credits) + 1_024:
            self._expiries = [
                one
                for one in self._expiries
                if one[2] in self._credits and self._credits[one[2]].until_ms == one[0]
            ]
            heapq.heapify(self._expiries)
        return expired

    def forget_absent(self, present: set[str]) -> None:
        """Drop the places at upstreams that no longer serve."""
        for key, credit in list(self._credits.items()):
            if credit.instance not in present:
                self._remove(key)

    def _remove(self, key: tuple[Gateway, int]) -> bool:
        credit = self._credits.pop(key, None)
        if credit is None:
            return False
        self._used[credit.instance] -= 1
        if not self._used[credit.instance]:
            del self._used[credit.instance]
        return True
