"""Names of the shared parts of prompts."""

from __future__ import annotations

import unittest

from ..requests import part_keys
from ..requests.part_keys import MAX_ID_CHARACTERS, MAX_KEYS


class PartKeysTest(unittest.TestCase):
    # Guards against a request that is refused for the part that is its own.
    def test_the_last_part_has_no_name(self) -> None:
        self.assertEqual(part_keys("", ()), ())
        self.assertEqual(part_keys("", ("own",)), ())
        self.assertEqual(part_keys("", ("a", "b", "a", "own")), ("/a", "/b"))

    # Guards against an organisation whose parts are refused for what another one says of its own.
    def test_equal_ids_of_two_organisations_have_different_names(self) -> None:
        self.assertFalse({*part_keys("x", ("a", "own"))} & {*part_keys("y", ("a", "own"))})
        self.assertFalse({*part_keys("x", ("/a", "own"))} & {*part_keys("x/", ("a", "own"))})

    # Guards against memory and messages that grow with the parts of a prompt.
    def test_names_are_bounded_in_number_and_length(self) -> None:
        ids = [f"{number}{'x' * 10_000}" for number in range(5_000)]
        names = part_keys("x", ids)
        self.assertEqual(len(set(names)), MAX_KEYS)
        self.assertLessEqual(max(map(len, names)), MAX_ID_CHARACTERS + 2)
