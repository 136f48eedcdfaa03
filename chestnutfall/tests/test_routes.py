"""Route lookup by host and path prefix, and the validity of documents."""

from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from ..platform.document_json import DocumentJson
from ..routes import RouteKind, RouteTable, UnreadableDocument, check_document

SERVICE = {"name": "forms", "health_path": "/health", "max_conns": 10}


def _route(name: str, prefix: str, **more: Any) -> dict[str, Any]:
    route = {"name": name, "host": "a.example", "path_prefix": prefix, "kind": "safe"}
    return route | {"timeout_ms": 1000, "service": "forms"} | more


def _document(*routes: dict[str, Any], **more: Any) -> bytes:
    document = {"version": 3, "routes": list(routes), "services": [SERVICE]}
    return json.dumps(document | more).encode()


def _findings(content: bytes) -> list[str]:
    return [one.rule for one in check_document(DocumentJson().decode(content))]


class RouteTableTest(unittest.TestCase):
    def _match(self, path: str, host: str = "a.example") -> str | None:
        content = _document(_route("short", "/a/"), _route("long", "/a/b/"))
        found = RouteTable(DocumentJson().decode(content)).match(host, path)
        return found.name if found else None

    def test_the_longest_prefix_wins(self) -> None:
        self.assertEqual(self._match("/a/b/c"), "long")
        self.assertEqual(self._match("/a/b/"), "long")
        self.assertEqual(self._match("/a/bc"), "short")

    def test_other_hosts_and_paths_have_no_route(self) -> None:
        self.assertIsNone(self._match("/b/"))
        self.assertIsNone(self._match("/a"))
        self.assertIsNone(self._match("/a/b/", host="b.example"))

    @given(st.floats(0, 1, exclude_max=True))
    def test_a_split_never_goes_to_a_weight_of_zero(self, draw: float) -> None:
        targets = [{"service": "forms", "weight": 1}, {"service": "never", "weight": 0}]
        content = _document(_route("split", "/a/", backends=targets))
        route = DocumentJson().decode(content).routes[0]
        self.assertEqual(route.service_for(draw), "forms")


class DocumentTest(unittest.TestCase):
    def test_the_limit_on_connections_is_read(self) -> None:
        # An unreadable limit was ignored before it was read; such a document must stay in force.
        for written, read in (
            (10, 10),
            (0, 0),
            (-1, 0),
            ("ten", 0),
            (None, 0),
            (1.5, 0),
            (True, 0),
        ):
            with self.subTest(written):
                services = [SERVICE | {"max_conns": written}]
                whole = json.loads(_document(_route("one", "/a/"))) | {"services": services}
                document = DocumentJson().decode(json.dumps(whole).encode())
                self.assertEqual(document.services[0].max_connections, read)

    def test_the_size_of_adapters_is_read(self) -> None:
        # An unreadable size was ignored before it was read; such a document must stay in force.
        for written, read in (
            (450.0, 450.0),
            (66, 66.0),
            (-1, 0.0),
            ("large", 0.0),
            (None, 0.0),
            (True, 0.0),
        ):
            with self.subTest(written):
                model = {"name": "base", "weights_mb": 50, "adapter_mb": written}
                engine = {"slots": 1, "kv_capacity": 9, "weights_mb": 60, "models": [model]}
                services = [SERVICE | {"engine": engine}]
                whole = json.loads(_document(_route("one", "/a/"))) | {"services": services}
                spec = DocumentJson().decode(json.dumps(whole).encode()).services[0].engine
                self.assertEqual(spec.models[0].adapter_mb, read)

    def test_a_valid_document_has_no_findings(self) -> None:
        self.assertEqual(_findings(_document(_route("one", "/a/"))), [])

    def test_every_broken_rule_is_found(self) -> None:
        broken = {
            "names one of": _document(_route("one", "/a/", service="unknown")),
            "weights": _document(
                _route("one", "/a/", backends=[{"service": "forms", "weight": 0}])
            ),
            "timeout": _document(_route("one", "/a/", timeout_ms=0)),
            "unique": _document(_route("one", "/a/"), _route("two", "/a/")),
        }
        for word, content in broken.items():
            with self.subTest(word):
                rules = _findings(content)
                self.assertEqual(len(rules), 1)
                self.assertIn(word.split()[0], rules[0].replace("name one", "names one"))

    def test_a_cut_document_is_unreadable(self) -> None:
        whole = _document(_route("one", "/a/"))
        for end in range(len(whole)):
            with self.subTest(end), self.assertRaises(UnreadableDocument):
                DocumentJson().decode(whole[:end])

    def test_streams_are_idempotent_only_if_they_may_be_resumed(self) -> None:
        routes = [
            _route("plain", "/a/", kind="stream"),
            _route("resumable", "/b/", kind="stream", resumable=True),
        ]
        plain, resumable = DocumentJson().decode(_document(*routes)).routes
        self.assertEqual((plain.kind, plain.kind.idempotent), (RouteKind.STREAM, False))
        self.assertTrue(resumable.kind.idempotent)
