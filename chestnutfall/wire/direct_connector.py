"""An aiohttp connector whose sockets belong to the event loop from the first moment."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .reset_aware import ResetAwareHandler
from .resets import reset


class DirectConnector(aiohttp.TCPConnector):
    """Opens connections through the event loop instead of handing finished sockets to it.

    aiohttp opens a socket itself and then gives it to the loop. If the request is cancelled or runs
    out of time in between, uvloop closes the socket's number, and Python's socket object, which
    still has it, closes it again later. By then the number may be that of another connection, which
    is cut, or gets what was written for the first one. A socket that the loop opened is closed by
    it alone, once.

    Its connections tell a reset from the end of an answer. One whose request is given up is reset:
    what the upstream has not got of it by then never arrives, however slow or cut its link is.

    It must be created in a running event loop.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        handler = partial(ResetAwareHandler, loop=asyncio.get_running_loop())
        self._factory = handler  # type: ignore[assignment]

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[Any],
        req: Any,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        ip, port = addr_infos[0][4][:2]
        try:
            async with asyncio.timeout(timeout.sock_connect):
                transport, protocol = await self.open_connection(*args, ip, port, **kwargs)
                return transport, protocol
        except OSError as exc:
            if exc.errno is None and isinstance(exc, TimeoutError):
                raise
            raise client_error(req.connection_key, exc) from exc

    async def open_connection(self, *args: Any, **kwargs: Any) -> Any:
        """Open a connection; takes and returns what the event loop's function does."""
        return await self._loop.create_connection(*args, **kwargs)

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        if (should_close or _awaits_answer(protocol)) and protocol.transport is not None:
            reset(protocol.transport)
        super()._release(key, protocol, should_close=should_close)


def _awaits_answer(protocol: ResponseHandler) -> bool:
    """Whether an answer has begun and is not whole."""
    payload = protocol._payload
    return payload is not None and not payload.is_eof()
