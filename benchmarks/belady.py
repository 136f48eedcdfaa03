"""Bélády's bound: the fewest loads with which a number of places can serve requests in order."""

from __future__ import annotations

import heapq
from collections.abc import Hashable, Sequence

NEVER = float("inf")


def fewest_loads(order: Sequence[Hashable], places: int) -> int:
    """Return how many loads any choice of evictions needs at least.

    Each load evicts what is used again last. All places count as one store, in which no item
    needs a second copy.

    Parameters
    ----------
    order : sequence
        Items in the order of their use.
    """
    next_uses = _next_uses(order)
    held: dict[Hashable, float] = {}
    latest: list[tuple[float, int, Hashable]] = []
    loads = 0
    for at, item in enumerate(order):
        if item not in held:
            loads += 1
            if len(held) >= places:
                _evict_latest(held, latest)
        held[item] = next_uses[at]
        heapq.heappush(latest, (-next_uses[at], at, item))
    return loads


def _next_uses(order: Sequence[Hashable]) -> list[float]:
    next_uses = [NEVER] * len(order)
    seen: dict[Hashable, int] = {}
    for at in reversed(range(len(order))):
        next_uses[at] = seen.get(order[at], NEVER)
        seen[order[at]] = at
    return next_uses


def _evict_latest(held: dict[Hashable, float], latest: list[tuple[float, int, Hashable]]) -> None:
    while True:
        next_use, _, item = heapq.heappop(latest)
        # Entries from before the item's last use, or its eviction, are still in the heap.
        if held.get(item) == -next_use:
            del held[item]
            return
