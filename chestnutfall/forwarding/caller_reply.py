"""Interface for answering a client."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .call import Headers


class CallerGone(Exception):
    """The client's connection is closed, so that no more of the answer reaches it."""

    # No `ConnectionError`: whoever handles those of upstreams must not take it for one of them.


class CallerReply(ABC):
    """One answer on one client connection.

    An answer is either complete (`send_whole`), streamed (`start`, `write`, then `finish` or
    `break_off`), or a refusal (`refuse`). Each method that sends raises `CallerGone` when the
    client's connection is closed.
    """

    @abstractmethod
    def is_gone(self) -> bool:
        """Whether the client's connection is closed, other than by `break_off`."""

    @abstractmethod
    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""

    @abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers of a streamed answer."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the streamed answer without buffering."""

    @abstractmethod
    async def finish(self) -> None:
        """End the streamed answer as complete."""

    @abstractmethod
    def break_off(self) -> None:
        """Close the connection so that the client sees the answer as incomplete."""

    @abstractmethod
    async def refuse(self, status: int, reason: str, retry_after_ms: int | None) -> None:
        """Send a refusal made by this gateway, with a retry time unless it is None."""
