"""Reading of settings files."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

from expression import Result
from pydantic import TypeAdapter

from ..findings.finding import Finding
from ..findings.json_document import read_json
from ..findings.typed_document import to_typed

T = TypeVar("T")


def read_settings(settings_type: type[T], path: Path) -> Result[T, list[Finding]]:
    """Read the settings file at `path` as a `settings_type`.

    Returns
    -------
    Result
        The settings, or all findings at once.
    """
    return read_json(path).bind(
        lambda value: to_typed(TypeAdapter(settings_type), value, str(path))
    )
