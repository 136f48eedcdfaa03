"""Digests by which repeats of a request are recognized."""

from __future__ import annotations

import hashlib

FINGERPRINT_CHARS = 32
"""128 bits of SHA-256; a second request with the same fingerprint cannot be constructed."""


def digest_of(target: str, body: bytes) -> str:
    """Return the SHA-256 of a request's target and body, in hexadecimal.

    Parameters
    ----------
    target : str
        Path, or method and path with the query.
    """
    return hashlib.sha256(target.encode("utf-8", "surrogateescape") + b"\0" + body).hexdigest()


def fingerprint_of(caller: str, target: str, body: bytes) -> str:
    """Return a short digest of a caller's request.

    It is the same for each repeat of the request, through any gateway.

    Parameters
    ----------
    caller : str
        Name of the caller; included so that equal requests of two callers differ.
    target : str
        Path, or method and path with the query.
    """
    return digest_of(f"{caller}\0{target}", body)[:FINGERPRINT_CHARS]
