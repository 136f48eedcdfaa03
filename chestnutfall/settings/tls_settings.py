"""Settings for mutual TLS between the processes of the system."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from ..wire import TlsFiles


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class TlsSettings:
    """Paths of PEM files.

    Attributes
    ----------
    key_file, cert_file : str
        Private key and certificate of this process.
    ca_file : str
        Certificate authority that signed the certificates of the others.
    """

    key_file: str
    cert_file: str
    ca_file: str

    def files(self) -> TlsFiles:
        """Return the files in the form that connections take."""
        return TlsFiles(self.key_file, self.cert_file, self.ca_file)
