"""Who may change the configuration."""

from __future__ import annotations

from enum import Enum

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .service import Sha256Hex


class Role(Enum):
    """What an operator may do; each includes the one before."""

    AUDITOR = "auditor"
    OPERATOR = "operator"
    ADMIN = "admin"

    def includes(self, other: Role) -> bool:
        """Whether this role may do what `other` may."""
        order = list(Role)
        return order.index(self) >= order.index(other)


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Operator:
    """One operator, known by the hash of a key."""

    key_sha256: Sha256Hex
    role: Role = Role.AUDITOR
