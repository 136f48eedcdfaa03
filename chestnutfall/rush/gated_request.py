"""A request of a `GatedServer`."""

from __future__ import annotations

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from .gated_connection import GatedConnection


class GatedRequest(BaseRequest):
    """aiohttp's request, which tells the gate that its answer begins.

    A stream that lasts for seconds then takes hardly any of the processor; counted to its end, it
    would keep others out.
    """

    async def _prepare_hook(self, resp: StreamResponse) -> None:
        end_opening(self)


def end_opening(request: BaseRequest) -> None:
    """Note that the answer to a request of a gated connection begins."""
    conn = request.protocol
    assert isinstance(conn, GatedConnection)
    conn.end_opening()
