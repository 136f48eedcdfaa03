"""Mutants that changed nothing, or broken source, would look like safeguards that are tested."""

from __future__ import annotations

import ast
import unittest
from collections import Counter

from .mutated_tree import ROOT
from .safeguards import MUTANTS


class MutantsTest(unittest.TestCase):
    # Guards against a mutant that no longer applies since its source file was changed.
    def test_each_mutant_applies_and_leaves_valid_source(self) -> None:
        for mutant in MUTANTS:
            with self.subTest(mutant.name):
                source = (ROOT / mutant.file).read_text("utf-8")
                self.assertEqual(source.count(mutant.safeguard), 1)
                ast.parse(source.replace(mutant.safeguard, mutant.without))

    def test_names_are_unique(self) -> None:
        counts = Counter(mutant.name for mutant in MUTANTS)
        self.assertEqual({name for name, count in counts.items() if count > 1}, set())
