"""The fault matrix has no empty cell and names only real tests."""

from __future__ import annotations

import importlib
import unittest
from pathlib import Path

from .fault_matrix import FAULTS, STEPS, cell, is_test, render

PAGE = Path(__file__).resolve().parents[2] / "docs" / "FAULTS.md"


class FaultMatrixTest(unittest.TestCase):
    def test_every_cell_is_a_real_test_or_a_reason(self) -> None:
        for step in STEPS:
            for fault in FAULTS:
                with self.subTest(step=step, fault=fault):
                    text = cell(step, fault)
                    self.assertTrue(text)
                    if is_test(text):
                        self.assertTrue(_exists(text), text)

    def test_page_is_the_matrix(self) -> None:
        self.assertEqual(PAGE.read_text("utf-8"), render())


def _exists(name: str) -> bool:
    module, case, method = name.rsplit(".", 2)
    path = module if module.startswith("properties.") else f"chestnutfall.tests.{module}"
    return hasattr(getattr(importlib.import_module(path), case), method)
