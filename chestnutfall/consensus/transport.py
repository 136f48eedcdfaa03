"""Interface for calls between replicas."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from .member import Member


class Transport(ABC):
    """Sends messages to other replicas."""

    @abstractmethod
    async def call(self, member: Member, msg: Any, timeout_ms: float) -> Any:
        """Send `msg` to `member` and return its reply.

        Raises
        ------
        ConnectionError
            When there is no reply within `timeout_ms`.
        """
