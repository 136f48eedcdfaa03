"""An answer to a client that ends once, and knows how."""

from __future__ import annotations

from collections.abc import Awaitable
from dataclasses import replace

from .call import Headers
from .caller_reply import CallerGone, CallerReply
from .progress import Progress
from .request_end import Answered, BrokenOff, CallerLeft, Refused, RequestEnd, Stopped

NOT_READ = "not_read"


class EndedReply(CallerReply):
    """Passes an answer on to the client's connection, and lets it end in one way only.

    Once the end of an answer is on its way, whatever else is asked for is dropped: a refusal would
    be a second answer on the connection, and breaking off would take the first one from the client.
    An answer that has begun can't be refused any more and is broken off instead.

    Attributes
    ----------
    end : RequestEnd or None
        How the request ended; None while it has not.
    is_sending : bool
        Whether the end is on its way; it still is after its sending was cancelled.
    progress : Progress or None
        State of the call once it is admitted; None before, when nothing was sent.
    """

    def __init__(self, reply: CallerReply) -> None:
        self._reply = reply
        self._begun = False
        self._status = 0
        self.end: RequestEnd | None = None
        self.is_sending = False
        self.progress: Progress | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have begun to run the call."""
        return self.progress is not None and self.progress.may_have_run

    def is_gone(self) -> bool:
        return self._reply.is_gone()

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        assert self.end is None
        await self._end(Answered(status), self._reply.send_whole(status, headers, body))

    async def start(self, status: int, headers: Headers) -> None:
        assert self.end is None
        self._begun = True
        self._status = status
        await self._reply.start(status, headers)

    async def write(self, data: bytes) -> None:
        assert self.end is None
        await self._reply.write(data)

    async def finish(self) -> None:
        assert self.end is None
        await self._end(Answered(self._status), self._reply.finish())

    async def refuse(self, end: Refused) -> None:
        if self._begun:
            self.break_off(BrokenOff(end.reason))
        elif self.end is None:
            await self._end(end, self._reply.refuse(end))

    def break_off(self, end: BrokenOff) -> None:
        if self.end is None:
            self.end = end
            self._reply.break_off(end)

    async def delivered(self) -> None:
        await self._reply.delivered()

    def note_late(self) -> None:
        """Record that the client read the end of its answer after the call's own time."""
        if isinstance(self.end, Answered):
            self.end = replace(self.end, is_late=True)

    def note_unread(self) -> None:
        """Break off an end that the client doesn't read."""
        self.end = None
        self.break_off(BrokenOff(NOT_READ))

    def note_cancelled(self) -> None:
        """Record that the request is cancelled, since its connection closed or is to be closed."""
        if self.is_gone():
            self.note_gone()
        elif self.end is None:
            self.end = Stopped(self._begun)

    def note_gone(self) -> None:
        """Record that the client left before it had the end of its answer."""
        if not isinstance(self.end, BrokenOff):
            progress = self.progress
            if progress is None:
                self.end = CallerLeft(self._begun)
            else:
                self.end = CallerLeft(self._begun, progress.sends, progress.last_sent_ms)

    async def _end(self, end: RequestEnd, sending: Awaitable[None]) -> None:
        """Send the end of an answer; cancelled, it goes on and stays the end."""
        self._begun = True
        self.end = end
        self.is_sending = True
        try:
            await sending
            self.is_sending = False
        except CallerGone:
            self.note_gone()
            raise
        except Exception:
            # Whether any byte of it was sent is unknown, so that it has to be broken off.
            self.end = None
            raise
