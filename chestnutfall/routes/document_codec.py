"""Decoding of documents from bytes."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..findings.finding import Finding
from .document import Document


class UnreadableDocument(ValueError):
    """The bytes are not a complete document.

    Attributes
    ----------
    findings : list of Finding
        What is missing or has a wrong type, and where.
    """

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class DocumentCodec(ABC):
    """Decodes documents in the format that operators send.

    There is no encoder: the log and the gateways keep the operator's own bytes, so that an
    auditor reads back exactly what was sent.
    """

    @abstractmethod
    def decode(self, content: bytes) -> Document:
        """Decode a document; rules between fields are left to `check_document`.

        Raises
        ------
        UnreadableDocument
            When something is missing or has a wrong type.
        """
