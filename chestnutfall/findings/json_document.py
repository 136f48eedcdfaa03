"""Strict JSON parsing, which drops nothing silently."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from .finding import Finding

MAX_DEPTH = 64
_TOO_DEEP = f"nested deeper than {MAX_DEPTH} levels"


class _DuplicateKeyError(ValueError):
    pass


def _unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members = dict(pairs)
    if len(members) != len(pairs):
        seen: set[str] = set()
        duplicate = next(key for key, _ in pairs if key in seen or seen.add(key))  # type: ignore[func-returns-value]
        raise _DuplicateKeyError(f"the key {duplicate!r} stands twice in one object")
    return members


def read_json_text(text: str | bytes, name: str) -> Result[Any, list[Finding]]:
    """Parse JSON text.

    Duplicate keys, NaN, Infinity and nesting deeper than `MAX_DEPTH` are findings, though
    Python's parser accepts them.

    Parameters
    ----------
    name : str
        Name of the document in findings.

    Returns
    -------
    Result
        The parsed value, or a list with one finding.
    """
    try:
        value = json.loads(text, object_pairs_hook=_unique_members, parse_constant=_reject_constant)
    except RecursionError:
        return Error([Finding(name, "", _TOO_DEEP)])
    except (ValueError, UnicodeDecodeError) as exc:
        return Error([Finding(name, "", f"not valid JSON: {exc}")])
    return Error([Finding(name, "", _TOO_DEEP)]) if _is_too_deep(value) else Ok(value)


def _is_too_deep(value: Any) -> bool:
    level = [value]
    for _ in range(MAX_DEPTH):
        level = (
            [
                inner
                for outer in level
                for inner in (outer.values() if isinstance(outer, dict) else outer)
                if isinstance(inner, dict | list)
            ]
            if isinstance(level[0], dict | list)
            else []
        )
        if not level:
            return False
    return True


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def read_json(path: Path) -> Result[Any, list[Finding]]:
    """Read and parse the file at `path`, with the rules of `read_json_text`."""
    try:
        text = path.read_bytes()
    except OSError as exc:
        return Error([Finding(str(path), "", f"cannot be read: {exc.strerror}")])
    return read_json_text(text, str(path))
