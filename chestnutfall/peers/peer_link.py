"""The entry's side of a stream to one owner."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import grpc

from ..clock import Clock
from ..ownership import (
    TICKET_CODEC,
    EngineView,
    Hello,
    OwnerNotification,
    TicketEnd,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)
from ..wire import RpcChannel, TlsFiles
from .peer_server import METHOD

log = logging.getLogger(__name__)
RECONNECT_MS = 200


class PeerLink:
    """Keeps one stream open and matches answers to requests."""

    def __init__(self, own_session: str, address: str, clock: Clock, tls: TlsFiles | None) -> None:
        self.address = address
        self.views: dict[str, EngineView] = {}
        self._own_session = own_session
        self._clock = clock
        self._channel = RpcChannel(address, TICKET_CODEC, tls)
        self._out: asyncio.Queue[Any] | None = None
        self._waiting: dict[str, asyncio.Future[TicketGrant | TicketRefusal]] = {}

    async def run(self) -> None:
        """Connect again and again."""
        try:
            while True:
                try:
                    await self._one_stream()
                except grpc.aio.AioRpcError as exc:
                    log.info("peers: stream to %s ended: %s", self.address, exc.code().name)
                finally:
                    self._lost()
                await self._clock.sleep_ms(RECONNECT_MS)
        finally:
            await self._channel.close()

    async def _one_stream(self) -> None:
        call = self._channel.stream(METHOD)
        out: asyncio.Queue[Any] = asyncio.Queue()
        writer = asyncio.ensure_future(self._write(call, out))
        try:
            await call.write(Hello(self._own_session))
            self._out = out
            while (msg := await call.read()) is not grpc.aio.EOF:
                self._take(msg)
        finally:
            writer.cancel()
            call.cancel()

    async def _write(self, call: Any, out: asyncio.Queue[Any]) -> None:
        while True:
            await call.write(await out.get())

    def _take(self, msg: Any) -> None:
        match msg:
            case EngineView():
                self.views[msg.engine] = msg
            case TicketGrant() | TicketRefusal():
                fut = self._waiting.pop(msg.attempt_id, None)
                if fut is not None and not fut.done():
                    fut.set_result(msg)
                elif isinstance(msg, TicketGrant):
                    self.end(TicketEnd(msg.attempt_id))

    def _lost(self) -> None:
        self._out = None
        self.views.clear()
        waiting, self._waiting = self._waiting, {}
        for attempt_id, fut in waiting.items():
            if not fut.done():
                fut.set_result(TicketRefusal(attempt_id, "owner_unreachable", 0))

    async def acquire(self, req: TicketRequest) -> TicketGrant | TicketRefusal:
        """Ask the owner for a ticket."""
        if self._out is None:
            return TicketRefusal(req.attempt_id, "owner_unreachable", 0)
        fut: asyncio.Future[TicketGrant | TicketRefusal] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[req.attempt_id] = fut
        self._out.put_nowait(req)
        try:
            return await self._clock.within_ms(req.wait_ms + RECONNECT_MS, _wait(fut))
        except TimeoutError:
            self.end(TicketEnd(req.attempt_id))
            return TicketRefusal(req.attempt_id, "owner_silent", 0)
        except asyncio.CancelledError:
            self.end(TicketEnd(req.attempt_id))
            raise
        finally:
            self._waiting.pop(req.attempt_id, None)

    def end(self, msg: TicketEnd) -> None:
        """Give a ticket back; if the stream is down the owner finds out from the engine."""
        self.tell(msg)

    def tell(self, msg: OwnerNotification) -> None:
        """Tell the owner something, if the stream is up."""
        if self._out is not None:
            self._out.put_nowait(msg)


async def _wait(
    fut: asyncio.Future[TicketGrant | TicketRefusal],
) -> TicketGrant | TicketRefusal:
    return await fut
