"""HTTP answers to clients."""

from __future__ import annotations

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from multidict import CIMultiDict

from ..forwarding.call import Headers
from ..forwarding.caller_reply import CallerReply
from . import header_names as names


class ClientReply(CallerReply):
    """The answer to one HTTP request of a client.

    Attributes
    ----------
    response : StreamResponse or None
        The response once its headers are being sent; None before.
    """

    def __init__(self, request: BaseRequest, closing: bool) -> None:
        """Answer `request`; if `closing`, close its connection after the answer."""
        self._request = request
        self._closing = closing
        self.response: StreamResponse | None = None

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        kept = _without_connection_headers(headers)
        await self._send(Response(status=status, headers=kept, body=body))

    async def start(self, status: int, headers: Headers) -> None:
        response = StreamResponse(status=status, headers=_without_connection_headers(headers))
        self._close_if_closing(response)
        self.response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        assert self.response is not None
        await self.response.write_eof()

    def break_off(self) -> None:
        # Without its last chunk, the client can't take a chunked answer for complete.
        if self._request.transport is not None:
            self._request.transport.abort()

    async def refuse(self, status: int, reason: str, retry_after_ms: int | None) -> None:
        headers = {"Content-Type": "text/plain"}
        if retry_after_ms is not None:
            headers[names.RETRY_AFTER] = f"{retry_after_ms / 1000:g}"
        await self._send(Response(status=status, headers=headers, text=reason))

    async def _send(self, response: Response) -> None:
        self._close_if_closing(response)
        self.response = response
        await response.prepare(self._request)
        await response.write_eof()

    def _close_if_closing(self, response: StreamResponse) -> None:
        if self._closing:
            response.force_close()


def _without_connection_headers(headers: Headers) -> CIMultiDict[str]:
    return CIMultiDict(
        (name, value) for name, value in headers if name.lower() not in names.CONNECTION_ONLY
    )
