"""Hash-chained audit records of accepted configuration changes."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

from .commands import ChangeConfig

FIRST_HASH = "0" * 64
"""`previous_hash` of the first record."""


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """An accepted configuration change, chained to the previous record by its hash.

    Attributes
    ----------
    revision : int
        Configuration revision that the change produced.
    change : ChangeConfig
        The change as it was committed to the log.
    previous_hash : str
        `chain_hash` of the previous record; `FIRST_HASH` for the first one.
    chain_hash : str
        Hex SHA-256 of `previous_hash`, `revision` and `change`.
    """

    revision: int
    change: ChangeConfig
    previous_hash: str
    chain_hash: str

    @classmethod
    def following(cls, previous_hash: str, revision: int, change: ChangeConfig) -> AuditRecord:
        """Create the record of `change` that follows the one with `previous_hash`."""
        return cls(revision, change, previous_hash, _chain_hash(previous_hash, revision, change))

    def has_valid_hash(self) -> bool:
        """Whether `chain_hash` matches the content of the record."""
        return self.chain_hash == _chain_hash(self.previous_hash, self.revision, self.change)


def _chain_hash(previous_hash: str, revision: int, change: ChangeConfig) -> str:
    content = msgspec.json.encode([previous_hash, revision, change])
    return hashlib.sha256(content).hexdigest()
