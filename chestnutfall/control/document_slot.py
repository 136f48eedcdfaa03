"""The one whole configuration document that is in force."""

from __future__ import annotations

from dataclasses import dataclass

from .commands import DocumentStored, PutDocument, VersionTaken


@dataclass(slots=True)
class DocumentSlot:
    """The document with the highest version so far.

    Attributes
    ----------
    version : int
        -1 before the first.
    content : bytes
        The document as its operator sent it.
    """

    version: int = -1
    content: bytes = b""

    def put(self, put: PutDocument) -> DocumentStored | VersionTaken:
        """Take `put` if its version is higher; otherwise say what holds."""
        if put.version == self.version and put.content != self.content:
            # Two operators may pick the same version. Symptom if the second were acknowledged:
            # an auditor reads back something else than what that operator sent.
            return VersionTaken(self.version)
        if put.version > self.version:
            self.version = put.version
            self.content = put.content
        return DocumentStored(self.version)
