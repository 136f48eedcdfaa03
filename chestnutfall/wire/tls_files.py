"""Where a process finds its key, certificate and authority."""

from __future__ import annotations

from dataclasses import dataclass

import grpc


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of PEM files for mutual TLS.

    Attributes
    ----------
    key_file, cert_file, ca_file : str
        Private key, own certificate chain, and the authority that signs every peer.
    """

    key_file: str
    cert_file: str
    ca_file: str

    def server_credentials(self) -> grpc.ServerCredentials:
        """Credentials read anew on each handshake, so a renewed file needs no restart."""
        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration(),
            self._server_configuration,
            require_client_authentication=True,
        )

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Client credentials from the files as they are now."""
        key, cert, authority = self._read()
        return grpc.ssl_channel_credentials(authority, key, cert)

    def _server_configuration(self) -> grpc.ServerCertificateConfiguration:
        key, cert, authority = self._read()
        return grpc.ssl_server_certificate_configuration([(key, cert)], authority)

    def _read(self) -> tuple[bytes, bytes, bytes]:
        with open(self.key_file, "rb") as key, open(self.cert_file, "rb") as cert:
            with open(self.ca_file, "rb") as authority:
                return key.read(), cert.read(), authority.read()
