"""The whole configuration document that is in force."""

from __future__ import annotations

from dataclasses import dataclass

from .commands import DocumentStored, PutDocument, VersionTaken


@dataclass(slots=True)
class DocumentSlot:
    """The document with the highest version so far.

    Attributes
    ----------
    version : int
        Version of the document; -1 if there is none.
    content : bytes
        The document, compressed.
    """

    version: int = -1
    content: bytes = b""

    def put(self, put: PutDocument) -> DocumentStored | VersionTaken:
        """Store the document if its version is higher than the one in force.

        Returns
        -------
        DocumentStored or VersionTaken
            `VersionTaken` if the version is in force with different content; otherwise the version
            that is in force now.
        """
        if put.version == self.version and put.content != self.content:
            # Two operators may pick the same version. If the second document were acknowledged, an
            # auditor would read back different content from what that operator sent.
            return VersionTaken(self.version)
        if put.version > self.version:
            self.version = put.version
            self.content = put.content
        return DocumentStored(self.version)
