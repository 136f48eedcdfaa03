"""Copies of the repository, each with one change of the source."""

from __future__ import annotations

import shutil
from pathlib import Path

from .mutant import Mutant

ROOT = Path(__file__).resolve().parents[1]
# Tests need none of these, and copying them takes time.
_IGNORED = shutil.ignore_patterns(".git", ".venv", ".demo", "__pycache__", ".*_cache")


class NotApplicable(ValueError):
    """The text that a mutant replaces does not occur exactly once in its file."""


def mutated_tree(tree: Path, mutant: Mutant | None) -> None:
    """Copy the repository to `tree`, which must not exist, and apply `mutant` if it is not None.

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
        raise NotApplicable(
            f"the text of {mutant.name!r} does not occur exactly once in {mutant.file}"
        )
    path.write_text(source.replace(mutant.safeguard, mutant.without), "utf-8")
