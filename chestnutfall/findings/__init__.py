"""What is wrong with a document, collected with its place."""

from __future__ import annotations

from .finding import Finding
from .json_document import read_json, read_json_text
from .typed_document import to_typed

__all__ = ["Finding", "read_json", "read_json_text", "to_typed"]
