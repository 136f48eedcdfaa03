"""Defaults of collaborators that are passed to a constructor."""

from __future__ import annotations

import ast
import unittest
from collections.abc import Iterable, Iterator
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1]
FALSY_METHODS = {"__len__", "__bool__"}


class DefaultArgumentTest(unittest.TestCase):
    # Guards against a collaborator that is replaced by the default since it is empty at first.
    def test_no_default_replaces_an_object_that_may_be_empty(self) -> None:
        trees = {path: ast.parse(path.read_text("utf-8")) for path in PACKAGE.rglob("*.py")}
        may_be_empty = set(_classes_that_may_be_falsy(trees.values()))
        self.assertIn("KnownRejections", may_be_empty)
        found = [
            f"{path.relative_to(PACKAGE)}:{line}: {name}(...) replaces an empty one"
            for path, tree in trees.items()
            for line, name in _defaults_by_or(tree)
            if name in may_be_empty
        ]
        self.assertEqual(found, [])


def _classes_that_may_be_falsy(trees: Iterable[ast.Module]) -> Iterator[str]:
    for tree in trees:
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                methods = {one.name for one in node.body if isinstance(one, ast.FunctionDef)}
                if methods & FALSY_METHODS:
                    yield node.name


def _defaults_by_or(tree: ast.Module) -> Iterator[tuple[int, str]]:
    """Yield the line and class of each `given or Class(...)`."""
    for node in ast.walk(tree):
        match node:
            case ast.BoolOp(op=ast.Or(), values=[*_, ast.Call(func=ast.Name(id=name))]):
                yield node.lineno, name
