"""Digest that stands for a caller's key inside the system."""

from __future__ import annotations

import hashlib


def key_digest(key: str) -> str:
    """Return the SHA-256 of a key, in hexadecimal; it identifies the holder without the key."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
