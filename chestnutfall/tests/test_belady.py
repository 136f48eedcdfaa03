"""Bélády's bound, with which loads of adapters are compared."""

from __future__ import annotations

import itertools
import unittest

from benchmarks.belady import fewest_loads


class FewestLoadsTest(unittest.TestCase):
    def test_each_item_is_loaded_once_where_there_is_a_place_for_all(self) -> None:
        self.assertEqual(fewest_loads("abcabcabc", 3), 3)

    # Guards against a bound that some choice of evictions stays under.
    def test_no_choice_of_evictions_needs_fewer(self) -> None:
        for order in itertools.product("abc", repeat=6):
            self.assertEqual(fewest_loads(order, 2), _fewest_of_all(order, 2))


def _fewest_of_all(order: tuple[str, ...], places: int) -> int:
    """Try each eviction at each load."""
    loads = {frozenset[str](): 0}
    for item in order:
        after: dict[frozenset[str], int] = {}
        for held, count in loads.items():
            for kept, cost in _ways_to_hold(item, held, places):
                after[kept] = min(after.get(kept, count + cost), count + cost)
        loads = after
    return min(loads.values())


def _ways_to_hold(item: str, held: frozenset[str], places: int) -> list[tuple[frozenset[str], int]]:
    if item in held:
        return [(held, 0)]
    if len(held) < places:
        return [(held | {item}, 1)]
    return [(held - {victim} | {item}, 1) for victim in held]
