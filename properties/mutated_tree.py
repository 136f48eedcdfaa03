"""A copy of the tree with one change of its source."""

from __future__ import annotations

import shutil
from pathlib import Path

from .mutant import Mutant

ROOT = Path(__file__).resolve().parents[1]
_IGNORED = shutil.ignore_patterns(".git", ".venv", ".demo", "__pycache__", ".*_cache")


class NotApplicable(ValueError):
    """The text that a change replaces is not there exactly once."""


def mutated_tree(tree: Path, mutant: Mutant | None) -> None:
    """Copy the tree to `tree`, with the mutant's change if there is one.

    Raises
    ------
    NotApplicable
    """
    shutil.copytree(ROOT, tree, ignore=_IGNORED)
    if mutant is None:
        return
    path = tree / mutant.file
    source = path.read_text("utf-8")
    if source.count(mutant.safeguard) != 1:
        raise NotApplicable("the safeguard's text is not there exactly once")
    path.write_text(source.replace(mutant.safeguard, mutant.without), "utf-8")
