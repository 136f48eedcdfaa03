"""Changes of documents by the stand-in operator."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from ..platform.document_json import DocumentJson
from ..platform.standin.document_change import WHOLE, ChangeKind
from ..platform.standin.operator import document
from ..routes.document_check import check_document

CHANGES = 300


class DocumentChangeTest(unittest.TestCase):
    # Guards against a soak whose changes are refused, so that they change nothing.
    def test_any_series_of_changes_is_a_series_of_valid_documents(self) -> None:
        rng = random.Random(1)
        state = WHOLE
        for version in range(CHANGES):
            state = state.changed(rng.choice(list(ChangeKind)), rng)
            decoded = DocumentJson().decode(document(version, state.apply))
            self.assertEqual(list(check_document(decoded)), [], state)

    # Guards against a kind of change that is listed and never played.
    def test_each_kind_changes_a_document(self) -> None:
        whole = replace(WHOLE, second_weight=1.0, first_weight=0.0)
        for kind in ChangeKind:
            with self.subTest(kind=kind):
                states = {whole.changed(kind, random.Random(seed)) for seed in range(20)}
                contents = {document(1, state.apply) for state in states}
                self.assertTrue(contents - {document(1, whole.apply)})
