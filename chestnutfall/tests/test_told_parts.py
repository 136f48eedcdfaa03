"""What is kept of the parts of a prompt, and of the names in a request."""

from __future__ import annotations

import sys
import unittest
from collections.abc import Iterable

from ..placement import AdapterName, PlaceRequest, PromptPart
from ..placement.demand import MAX_NAME_CHARACTERS, Demand
from ..placement.prompt_cache import MAX_HELD, PromptCache, prefixes_of
from ..placement.told_parts import told_parts
from ..requests.part_keys import MAX_ID_CHARACTERS, MAX_KEYS

ADAPTER = AdapterName("base", "a1")
MANY = 4_000
KV_TOKENS = 200_000


def _parts(ids: Iterable[str], tokens: int = 10) -> tuple[PromptPart, ...]:
    return tuple(PromptPart(one, tokens) for one in ids)


def _request(parts: tuple[PromptPart, ...]) -> PlaceRequest:
    return PlaceRequest("g/1", "engines", ADAPTER, 100, 40, parts, 0, 500, 4_000, "north")


class ToldPartsTest(unittest.TestCase):
    def test_few_parts_are_told_as_they_are(self) -> None:
        parts = _parts(("shared", "own"))
        self.assertEqual(told_parts(iter(parts)), parts)

    # Guards against memory at gateways and leader that is many times that of a request's head.
    def test_many_parts_become_few(self) -> None:
        told = told_parts(_parts(f"{at:x}" for at in range(MANY)))
        self.assertEqual(len(told), MAX_KEYS)
        self.assertEqual(told[-1].part_id, f"{MANY - 1:x}")
        self.assertEqual(sum(one.tokens for one in told), 10 * MANY)

    # Guards against prompts that count as alike though their parts differ.
    def test_prompts_that_differ_in_a_merged_part_differ(self) -> None:
        ids = [f"{at:x}" for at in range(MANY)]
        other = [*ids[:-2], "other", ids[-1]]
        self.assertEqual(told_parts(_parts(ids)), told_parts(_parts(ids)))
        self.assertNotEqual(told_parts(_parts(ids)), told_parts(_parts(other)))

    def test_ids_are_short(self) -> None:
        told = told_parts(_parts(("x" * 10_000, "\udcff", "own")))
        self.assertLessEqual(max(len(one.part_id) for one in told), MAX_ID_CHARACTERS)
        self.assertTrue(all(one.part_id.isascii() for one in told))


class PromptCacheTest(unittest.TestCase):
    def test_only_a_prompt_that_begins_alike_is_cached(self) -> None:
        cache = PromptCache(KV_TOKENS)
        cache.note(prefixes_of(_request(_parts(("a", "b", "own")))))
        for ids, missing in ((("a", "b", "x"), 80), (("b", "a", "x"), 100), (("a", "x"), 90)):
            with self.subTest(ids=ids):
                found = prefixes_of(_request(_parts(ids)))
                self.assertEqual(cache.missing_tokens(100, found), missing)

    # Guards against a leader that is killed by some requests whose prompts have thousands of parts.
    def test_a_prefix_takes_no_more_memory_than_its_last_part(self) -> None:
        prefixes = prefixes_of(_request(_parts(f"{at:x}" for at in range(MANY))))
        largest = max(sys.getsizeof(one) for key, _ in prefixes for one in key)
        self.assertLess(largest, 100)
        self.assertLessEqual(len(prefixes), MAX_KEYS)

    # Guards against prefixes that are kept for good, as they have no tokens.
    def test_parts_without_tokens_are_dropped_too(self) -> None:
        cache = PromptCache(KV_TOKENS)
        for at in range(MANY):
            cache.note(prefixes_of(_request(_parts((f"{at:x}", f"{at:x}.own"), tokens=0))))
        self.assertLessEqual(len(cache), MAX_HELD)


class DemandTest(unittest.TestCase):
    # Guards against a leader that keeps the names of thousands of adapters that nobody ever made.
    def test_an_adapter_with_a_very_long_name_is_not_counted(self) -> None:
        demand = Demand()
        for at in range(100):
            demand.note(AdapterName("base", f"{at}{'a' * MAX_NAME_CHARACTERS}"), 0)
        demand.note(ADAPTER, 0)
        self.assertEqual(len(demand), 1)
        self.assertEqual(demand.level(ADAPTER, 0), 1)
