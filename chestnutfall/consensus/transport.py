"""How replicas reach each other."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from .member import Member


class Transport(ABC):
    """Calls to other replicas."""

    @abstractmethod
    async def call(self, member: Member, msg: Any, timeout_ms: float) -> Any:
        """Send `msg` to `member` and return its answer.

        Raises
        ------
        ConnectionError
            When there is no answer in time.
        """
