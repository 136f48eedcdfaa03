"""Port back to the client."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .call import Headers


class CallerReply(ABC):
    """One answer on one client connection."""

    @abstractmethod
    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    @abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Begin a streamed answer."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of it at once."""

    @abstractmethod
    async def finish(self) -> None:
        """End it as complete."""

    @abstractmethod
    def break_off(self) -> None:
        """Close the connection such that the answer can't look complete."""

    @abstractmethod
    async def refuse(self, status: int, reason: str, retry_after_ms: int | None) -> None:
        """Send a final answer of our own."""
