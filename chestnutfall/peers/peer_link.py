"""The client side of a stream to another gateway."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import grpc

from ..clock import Clock
from ..clock.cancelled import was_cancelled
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
"""Pause before a new stream; also how long past its own wait a ticket request is kept open."""


class PeerLink:
    """Keeps a stream to one gateway open, and matches answers on it to ticket requests.

    Attributes
    ----------
    address : str
        IP and port of the other gateway.
    views : dict of str to EngineView
        Newest view of each engine that the other gateway owns; empty without a stream.
    """

    def __init__(self, own_session: str, address: str, clock: Clock, tls: TlsFiles | None) -> None:
        self.address = address
        self.views: dict[str, EngineView] = {}
        self._own_session = own_session
        self._clock = clock
        self._channel = RpcChannel(address, TICKET_CODEC, tls)
        self._outgoing: asyncio.Queue[Any] | None = None
        self._pending: dict[str, asyncio.Future[TicketGrant | TicketRefusal]] = {}

    async def run(self) -> None:
        """Open a stream, and a new one whenever it ends, until cancelled."""
        try:
            while True:
                try:
                    await self._run_stream()
                except grpc.aio.AioRpcError as exc:
                    log.info("peers: stream to %s ended: %s", self.address, exc.code().name)
                except asyncio.CancelledError:
                    if was_cancelled():
                        raise
                    log.info("peers: stream to %s was cancelled", self.address)
                finally:
                    self._on_disconnect()
                await self._clock.sleep_ms(RECONNECT_MS)
        finally:
            await self._channel.close()

    async def _run_stream(self) -> None:
        call = self._channel.stream(METHOD)
        out: asyncio.Queue[Any] = asyncio.Queue()
        writer = asyncio.ensure_future(self._write(call, out))
        try:
            await call.write(Hello(self._own_session))
            self._outgoing = out
            while (msg := await call.read()) is not grpc.aio.EOF:
                self._handle_message(msg)
        finally:
            writer.cancel()
            call.cancel()

    async def _write(self, call: Any, out: asyncio.Queue[Any]) -> None:
        while True:
            await call.write(await out.get())

    def _handle_message(self, msg: Any) -> None:
        match msg:
            case EngineView():
                self.views[msg.engine] = msg
            case TicketGrant() | TicketRefusal():
                fut = self._pending.pop(msg.attempt_id, None)
                if fut is not None and not fut.done():
                    fut.set_result(msg)
                elif isinstance(msg, TicketGrant):
                    self.release_ticket(TicketEnd(msg.attempt_id))

    def _on_disconnect(self) -> None:
        self._outgoing = None
        self.views.clear()
        pending, self._pending = self._pending, {}
        for attempt_id, fut in pending.items():
            if not fut.done():
                fut.set_result(TicketRefusal(attempt_id, "owner_unreachable", 0))

    async def acquire(self, req: TicketRequest) -> TicketGrant | TicketRefusal:
        """Ask the owner for a ticket and return its answer.

        Without an answer the result is a refusal with the code "owner_unreachable" when there is
        no stream or it breaks, and "owner_silent" when the wait is over. A request that is given
        up or cancelled releases its ticket, since the owner may have granted it meanwhile.
        """
        if self._outgoing is None:
            return TicketRefusal(req.attempt_id, "owner_unreachable", 0)
        fut: asyncio.Future[TicketGrant | TicketRefusal] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[req.attempt_id] = fut
        self._outgoing.put_nowait(req)
        try:
            return await self._clock.within_ms(req.wait_ms + RECONNECT_MS, _wait(fut))
        except TimeoutError:
            self.release_ticket(TicketEnd(req.attempt_id))
            return TicketRefusal(req.attempt_id, "owner_silent", 0)
        except asyncio.CancelledError:
            self.release_ticket(TicketEnd(req.attempt_id))
            raise
        finally:
            self._pending.pop(req.attempt_id, None)

    def release_ticket(self, msg: TicketEnd) -> None:
        """Release a ticket; without a stream the owner learns of the end from the engine."""
        self.send(msg)

    def send(self, msg: OwnerNotification) -> None:
        """Send `msg` to the owner; without a stream it is dropped."""
        if self._outgoing is not None:
            self._outgoing.put_nowait(msg)


async def _wait(
    fut: asyncio.Future[TicketGrant | TicketRefusal],
) -> TicketGrant | TicketRefusal:
    return await fut
