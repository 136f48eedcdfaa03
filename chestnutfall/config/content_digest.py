"""A digest of a whole document that one changed entry updates."""

from __future__ import annotations

import hashlib
import json
from typing import Any

_MODULUS = 1 << 256


class ContentDigest:
    """Sum of the hashes of all entries, modulo 2**256.

    It finds faults, not forgers: two hosts with the same entries have the same digest whatever
    way they came to them, and a changed entry costs one hash instead of the whole document's.
    """

    def __init__(self) -> None:
        self._sum = 0

    def add(self, section: str, name: str, entry: Any) -> None:
        """Count an entry in."""
        self._sum = (self._sum + _entry_hash(section, name, entry)) % _MODULUS

    def remove(self, section: str, name: str, entry: Any) -> None:
        """Count an entry out."""
        self._sum = (self._sum - _entry_hash(section, name, entry)) % _MODULUS

    def hex(self) -> str:
        """The digest as 64 hexadecimal characters."""
        return f"{self._sum:064x}"


def _entry_hash(section: str, name: str, entry: Any) -> int:
    text = json.dumps([section, name, entry], sort_keys=True, separators=(",", ":"))
    return int.from_bytes(hashlib.sha256(text.encode()).digest(), "big")
