"""Conversion of parsed JSON to a validated data class."""

from __future__ import annotations

from typing import Any, TypeVar

from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from .finding import Finding

T = TypeVar("T")
FOUND_CHARS = 60


def to_typed(adapter: TypeAdapter[T], value: Any, name: str) -> Result[T, list[Finding]]:
    """Validate `value` against the data class of `adapter`.

    Parameters
    ----------
    name : str
        Name of the document in findings.

    Returns
    -------
    Result
        The data class, or all findings at once, each with its JSON pointer.
    """
    try:
        return Ok(adapter.validate_python(value))
    except ValidationError as exc:
        return Error([_finding(name, error) for error in exc.errors(include_url=False)])


def _finding(name: str, error: Any) -> Finding:
    steps = (str(step).replace("~", "~0").replace("/", "~1") for step in error["loc"])
    pointer = "".join(f"/{step}" for step in steps)
    return Finding(name, pointer, str(error["msg"]), repr(error["input"])[:FOUND_CHARS])
