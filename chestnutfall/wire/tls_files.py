"""Files of a process's TLS key and certificates."""

from __future__ import annotations

from dataclasses import dataclass

import grpc


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of PEM files for mutual TLS.

    Attributes
    ----------
    key_file, cert_file, ca_file : str
        Private key, certificate chain of this process, and certificate of the authority that
        signs every peer.
    """

    key_file: str
    cert_file: str
    ca_file: str

    def server_credentials(self) -> grpc.ServerCredentials:
        """Return server credentials that reread the files on each handshake.

        Renewed files are thus used without a restart. Clients must present a certificate.
        """
        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration(),
            self._server_configuration,
            require_client_authentication=True,
        )

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Return client credentials with the present content of the files."""
        key, cert, authority = self._read()
        return grpc.ssl_channel_credentials(authority, key, cert)

    def _server_configuration(self) -> grpc.ServerCertificateConfiguration:
        key, cert, authority = self._read()
        return grpc.ssl_server_certificate_configuration([(key, cert)], authority)

    def _read(self) -> tuple[bytes, bytes, bytes]:
        with open(self.key_file, "rb") as key, open(self.cert_file, "rb") as cert:
            with open(self.ca_file, "rb") as authority:
                return key.read(), cert.read(), authority.read()
