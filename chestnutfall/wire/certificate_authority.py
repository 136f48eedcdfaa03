"""A minimal certificate authority for demonstrations and tests."""

from __future__ import annotations

import datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from .tls_files import TlsFiles

SERVER_NAME = "chestnutfall"
"""DNS name in every certificate, which clients check instead of the host's IP address."""
VALID_DAYS = 30


class CertificateAuthority:
    """Signs the certificates of all processes of one deployment, which accept only these."""

    def __init__(self, name: str) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._cert = _certificate(name, self._key, None)

    def issue(self, folder: Path, name: str) -> TlsFiles:
        """Create a key and certificate for the process `name` and write them to `folder`.

        Existing files of the same process are overwritten. The certificate of this authority is
        written with them, as the one that signs every peer.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        cert = _certificate(name, key, (self._cert, self._key))
        files = TlsFiles(*(str(folder / f"{name}.{kind}") for kind in ("key", "crt", "ca")))
        private = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        Path(files.key_file).write_bytes(private)
        Path(files.key_file).chmod(0o600)
        Path(files.cert_file).write_bytes(cert.public_bytes(serialization.Encoding.PEM))
        Path(files.ca_file).write_bytes(self._cert.public_bytes(serialization.Encoding.PEM))
        return files


def _certificate(
    name: str,
    key: ec.EllipticCurvePrivateKey,
    issuer: tuple[x509.Certificate, ec.EllipticCurvePrivateKey] | None,
) -> x509.Certificate:
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer[0].subject if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(minutes=5))
        .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
        .add_extension(x509.BasicConstraints(ca=issuer is None, path_length=None), critical=True)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(SERVER_NAME)]), critical=False)
    )
    return builder.sign(issuer[1] if issuer else key, hashes.SHA256())
