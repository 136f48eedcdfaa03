"""Operators and their roles."""

from __future__ import annotations

from enum import Enum

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from .service import Sha256Hex


class Role(Enum):
    """What an operator may do; each role includes the ones before it."""

    AUDITOR = "auditor"
    OPERATOR = "operator"
    ADMIN = "admin"

    def includes(self, other: Role) -> bool:
        """Return whether this role may do everything that `other` may."""
        order = list(Role)
        return order.index(self) >= order.index(other)


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Operator:
    """Configuration of one operator.

    Attributes
    ----------
    key_sha256 : str
        Hash of the operator's key; the key itself is stored nowhere.
    role : Role
        What the operator may do.
    """

    key_sha256: Sha256Hex
    role: Role = Role.AUDITOR
