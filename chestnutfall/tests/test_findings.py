"""Strict reading of JSON, and findings with their positions."""

from __future__ import annotations

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from ..findings.json_document import read_json_text
from ..settings.gateway_settings import GatewaySettings
from ..settings.reading import read_settings


class ReadJsonTest(unittest.TestCase):
    def test_ambiguous_or_invalid_documents_are_refused(self) -> None:
        cases = {
            '{"model": "a", "model": "b"}': "stands twice",
            "[" * 200 + "]" * 200: "nested deeper",
            "[" * 100_000 + "]" * 100_000: "nested deeper",
            '{"a": NaN}': "not a JSON number",
            '{"a": ': "not valid JSON",
            '"\udcff"': "not valid JSON",
        }
        for text, rule in cases.items():
            with self.subTest(text=text[:20]):
                result = read_json_text(text.encode("utf-8", "surrogateescape"), "body")
                self.assertIn(rule, str(result.error[0]))

    def test_sixty_four_levels_are_allowed(self) -> None:
        self.assertTrue(read_json_text("[" * 64 + "]" * 64, "body").is_ok())


class SettingsTest(unittest.TestCase):
    def test_all_findings_come_at_once_with_their_position(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.json"
            path.write_text('{"name": "Entry 1", "listen": "localhost:80", "colour": 1}')
            result = read_settings(GatewaySettings, path)
        found = {finding.pointer: finding.rule for finding in result.error}
        self.assertIn("IPv4 number", found["/listen"])
        self.assertIn("/name", found)
        self.assertIn("/colour", found)
        self.assertIn("/data_centre", found)
