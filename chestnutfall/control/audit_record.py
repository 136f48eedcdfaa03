"""One accepted change, as the auditor reads it."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

from .commands import ChangeConfig

FIRST_HASH = "0" * 64


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """A change, chained to the one before by its hash."""

    revision: int
    change: ChangeConfig
    previous_hash: str
    chain_hash: str

    @classmethod
    def following(cls, previous_hash: str, revision: int, change: ChangeConfig) -> AuditRecord:
        """Make the record of `change`."""
        return cls(revision, change, previous_hash, _chain_hash(previous_hash, revision, change))

    def is_genuine(self) -> bool:
        """Whether the hash fits the content."""
        return self.chain_hash == _chain_hash(self.previous_hash, self.revision, self.change)


def _chain_hash(previous_hash: str, revision: int, change: ChangeConfig) -> str:
    content = msgspec.json.encode([previous_hash, revision, change])
    return hashlib.sha256(content).hexdigest()
