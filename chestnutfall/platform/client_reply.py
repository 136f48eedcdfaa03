"""HTTP answers to clients."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from aiohttp.http_writer import HttpVersion11
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from ..forwarding.call import Headers
from ..forwarding.caller_reply import CallerGone, CallerReply
from ..forwarding.request_end import BrokenOff, Refused
from ..wire.bounded_connection import BoundedConnection
from ..wire.peer_closed import is_closed_by_peer
from ..wire.resets import reset
from . import header_names as names

PIECE_BYTES = 32 * 1024
"""What is written of a long answer at once: the library copies what it writes with the headers."""
EXPECTS = "100-continue"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ClientReply(CallerReply):
    """The answer to one HTTP request of a client.

    Attributes
    ----------
    response : StreamResponse or None
        The response once its headers are being sent; None before.
    """

    def __init__(
        self,
        request: BaseRequest,
        closing: bool,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        """Answer `request`; if `closing`, close its connection after the answer.

        `is_stopping` tells whether the server closes all connections.
        """
        self._request = request
        self._closing = closing
        self._is_stopping = is_stopping
        self._broken_off = False
        self._ending: asyncio.Future[None] | None = None
        self._ending_error: BaseException | None = None
        conn = request.protocol
        assert isinstance(conn, BoundedConnection)
        self._conn = conn
        self.response: StreamResponse | None = None

    def is_gone(self) -> bool:
        if self._broken_off or self._is_stopping():
            return False
        return is_closed_by_peer(self._request.transport)

    async def ask_for_body(self) -> None:
        """Tell a client that waits for it to send the body of its request."""
        request = self._request
        if (
            request.version >= HttpVersion11
            and request.headers.get("Expect", "").lower() == EXPECTS
        ):
            await self._to_client(request.writer.write(CONTINUE))
            # The library takes what is written for a part of the answer.
            request.writer.output_size = 0

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        kept = _without_connection_headers(headers)
        self._conn.hold_answer(len(body))
        if len(body) <= PIECE_BYTES:
            await self._send(Response(status=status, headers=kept, body=body))
            return
        response = StreamResponse(status=status, headers=kept)
        response.content_length = len(body)
        self._close_if_closing(response)
        self.response = response
        await self._to_client(response.prepare(self._request))
        await self._send_end(self._write_in_pieces(response, body))

    async def _write_in_pieces(self, response: StreamResponse, body: bytes) -> None:
        whole = memoryview(body)
        for at in range(0, len(body), PIECE_BYTES):
            await response.write(whole[at : at + PIECE_BYTES])
            await self._request.writer.drain()
        await response.write_eof()

    async def start(self, status: int, headers: Headers) -> None:
        response = StreamResponse(status=status, headers=_without_connection_headers(headers))
        self._close_if_closing(response)
        self.response = response
        await self._to_client(response.prepare(self._request))

    async def write(self, data: bytes) -> None:
        assert self.response is not None
        await self._to_client(self.response.write(data))
        if self._conn.writing_paused:
            await self._to_client(self._conn.wait_for_reader())

    async def finish(self) -> None:
        assert self.response is not None
        await self._send_end(self.response.write_eof())

    def break_off(self, end: BrokenOff) -> None:
        self._broken_off = True
        transport = self._request.transport
        if transport is None:
            return
        # Without its last chunk, the client can't take a chunked answer for complete. The end of
        # one with neither chunks nor a length is the end of its connection, unless it is a reset.
        if self.response is not None and not _is_framed(self.response):
            reset(transport)
        else:
            transport.abort()

    async def refuse(self, end: Refused) -> None:
        headers = {"Content-Type": "text/plain"}
        if end.retry_after_ms is not None:
            headers[names.RETRY_AFTER] = f"{end.retry_after_ms / 1000:g}"
        await self._send(Response(status=end.status, headers=headers, text=end.reason))

    async def delivered(self) -> None:
        if self._ending is not None:
            await asyncio.shield(self._ending)
        elif self._ending_error is not None:
            raise self._ending_error

    async def _send(self, response: Response) -> None:
        self._close_if_closing(response)
        self.response = response
        await self._to_client(response.prepare(self._request))
        await self._send_end(response.write_eof())

    async def _send_end(self, sending: Coroutine[Any, Any, None]) -> None:
        """Send the end of an answer; it goes on by itself if this is cancelled.

        A client that reads slowly makes it wait. aiohttp counts an end that is cancelled then as
        not sent, and writes it a second time behind the first.
        """
        self._ending = asyncio.ensure_future(self._to_client(sending))
        self._ending.add_done_callback(self._note_ended)
        await asyncio.shield(self._ending)

    def _note_ended(self, ending: asyncio.Future[None]) -> None:
        """Take note of an end that was sent, or of its error, which nothing may wait for."""
        if not ending.cancelled():
            self._ending_error = ending.exception()
        # Its context refers to this reply. The cycle would keep the request in memory, with its
        # body, until the next full garbage collection.
        self._ending = None

    async def _to_client(self, sending: Awaitable[Any]) -> None:
        """Wait until bytes are handed to the client's connection."""
        try:
            await sending
        except ConnectionError as exc:
            if self.is_gone():
                raise CallerGone("the client's connection is closed") from exc
            raise

    def _close_if_closing(self, response: StreamResponse) -> None:
        if self._closing:
            response.force_close()


def _is_framed(response: StreamResponse) -> bool:
    """Whether a client can tell from the bytes alone that the answer is incomplete."""
    return "Transfer-Encoding" in response.headers or "Content-Length" in response.headers


def _without_connection_headers(headers: Headers) -> CIMultiDict[str]:
    return CIMultiDict(
        (name, value) for name, value in headers if name.lower() not in names.CONNECTION_ONLY
    )
