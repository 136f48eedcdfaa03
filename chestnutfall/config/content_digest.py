"""Incremental digest of a configuration."""

from __future__ import annotations

import hashlib
import json
from typing import Any

_MODULUS = 1 << 256


class ContentDigest:
    """Sum of the hashes of all entries, modulo 2**256.

    It detects faults, not forgery. Hosts with the same entries have the same digest, in whatever
    order the changes came; a changed entry costs one hash instead of a hash of the whole document.
    """

    def __init__(self) -> None:
        self._sum = 0

    def add(self, section: str, name: str, entry: Any) -> None:
        """Add the hash of an entry."""
        self._sum = (self._sum + _entry_hash(section, name, entry)) % _MODULUS

    def remove(self, section: str, name: str, entry: Any) -> None:
        """Subtract the hash of an entry that was added with the same content."""
        self._sum = (self._sum - _entry_hash(section, name, entry)) % _MODULUS

    def hex(self) -> str:
        """Return the digest as 64 hexadecimal characters."""
        return f"{self._sum:064x}"


def _entry_hash(section: str, name: str, entry: Any) -> int:
    text = json.dumps([section, name, entry], sort_keys=True, separators=(",", ":"))
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), "big")
