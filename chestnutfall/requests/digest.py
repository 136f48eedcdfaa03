"""What makes two requests the same request."""

from __future__ import annotations

import hashlib

FINGERPRINT_CHARACTERS = 32
"""128 bits of SHA-256: nobody finds a second request with the fingerprint of a first."""


def digest_of(place: str, body: bytes) -> str:
    """Digest of a request: where it goes, and its body."""
    return hashlib.sha256(place.encode("utf-8", "surrogateescape") + b"\0" + body).hexdigest()


def fingerprint_of(caller: str, place: str, body: bytes) -> str:
    """Short digest of who asks for what; the same for each repeat, through any gateway.

    Parameters
    ----------
    caller : str
        Who asks, so that one caller's request says nothing of another's.
    place : str
        Method and path, with the query.
    """
    return digest_of(f"{caller}\0{place}", body)[:FINGERPRINT_CHARACTERS]
