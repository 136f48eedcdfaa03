"""How a document is written as bytes."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..findings.finding import Finding
from .document import Document


class UnreadableDocument(ValueError):
    """The bytes are not a whole document; `findings` say where and why."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class DocumentCodec(ABC):
    """Reads documents in the format that operators send.

    The log and the gateways carry the operator's own bytes, so that what an auditor reads back
    is what was sent.
    """

    @abstractmethod
    def decode(self, content: bytes) -> Document:
        """Read a document.

        Raises
        ------
        UnreadableDocument
            When something is missing or has a wrong type.
        """
