"""Files for mutual TLS between our processes."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from ..wire import TlsFiles


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class TlsSettings:
    """Paths of PEM files."""

    key_file: str
    cert_file: str
    ca_file: str

    def files(self) -> TlsFiles:
        """The files as the wire uses them."""
        return TlsFiles(self.key_file, self.cert_file, self.ca_file)
