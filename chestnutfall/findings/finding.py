"""One error in a document."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """A rule that a document breaks, with the position of the value that breaks it.

    Attributes
    ----------
    file : str
        Path of the file, or another name of the document.
    pointer : str
        JSON pointer (RFC 6901) of the value; empty for the whole document.
    rule : str
        What is wrong, or what is allowed.
    found : str
        The value, shortened; empty when it is not shown.
    """

    file: str
    pointer: str
    rule: str
    found: str = ""

    def __str__(self) -> str:
        found = f"; found {self.found}" if self.found else ""
        return f"{self.file}#{self.pointer}: {self.rule}{found}"
