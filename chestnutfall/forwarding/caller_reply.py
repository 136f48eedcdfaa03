"""Interface for answering a client."""

from __future__ import annotations

from abc import ABC, abstractmethod

from .call import Headers
from .request_end import BrokenOff, Refused


class CallerGone(Exception):
    """The client's connection is closed, so that no more of the answer reaches it."""

    # No `ConnectionError`: whoever handles those of upstreams must not take it for one of them.


class CallerReply(ABC):
    """One answer on one client connection.

    An answer is either complete (`send_whole`), streamed (`start`, `write`, then `finish` or
    `break_off`), or a refusal (`refuse`). Each method that sends raises `CallerGone` when the
    client's connection is closed. A `send_whole`, `finish` or `refuse` that is cancelled goes on
    by itself.
    """

    @abstractmethod
    def is_gone(self) -> bool:
        """Whether the client's connection is closed, other than by this gateway.

        It is also if the event loop has not read its end yet.
        """

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
    def break_off(self, end: BrokenOff) -> None:
        """Close the connection so that the client sees the answer as incomplete."""

    @abstractmethod
    async def refuse(self, end: Refused) -> None:
        """Send a refusal made by this gateway."""

    @abstractmethod
    async def delivered(self) -> None:
        """Wait until the connection has taken an end whose sending was cancelled."""
