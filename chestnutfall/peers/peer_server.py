"""The owner's side of a stream."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from ..clock import Clock
from ..ownership import (
    EngineBackoff,
    EngineLimit,
    EngineOwners,
    EngineView,
    Hello,
    ResumeSent,
    TicketEnd,
    TicketRequest,
)

METHOD = "Tickets"
PUBLISH_MS = 50


class PeerServer:
    """Answers each entry gateway's stream by one task, and knows which are connected."""

    def __init__(self, desk: EngineOwners, clock: Clock) -> None:
        self._desk = desk
        self._clock = clock
        self._connected: dict[str, int] = {}

    def is_connected(self, session: str) -> bool:
        """Whether a gateway has a stream to us now."""
        return self._connected.get(session, 0) > 0

    async def serve(self, messages: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        """Answer one stream."""
        hello = await anext(messages)
        if not isinstance(hello, Hello):
            return
        session = hello.session
        self._connected[session] = self._connected.get(session, 0) + 1
        out: asyncio.Queue[Any] = asyncio.Queue()
        reader = asyncio.ensure_future(self._read(messages, session, out))
        publisher = asyncio.ensure_future(self._publish(out))
        try:
            while (msg := await out.get()) is not None:
                yield msg
        finally:
            reader.cancel()
            publisher.cancel()
            self._connected[session] -= 1
            if not self._connected[session]:
                del self._connected[session]

    async def _read(
        self, messages: AsyncIterator[Any], session: str, out: asyncio.Queue[Any]
    ) -> None:
        waiting: set[asyncio.Task[None]] = set()
        try:
            async for msg in messages:
                match msg:
                    case TicketRequest():
                        task = asyncio.ensure_future(self._acquire(msg, session, out))
                        waiting.add(task)
                        task.add_done_callback(waiting.discard)
                    case TicketEnd() | EngineLimit() | EngineBackoff() | ResumeSent():
                        self._desk.handle(msg)
        finally:
            # The stream is gone, so a ticket granted now would reach nobody and pin for nothing.
            for task in waiting:
                task.cancel()
            out.put_nowait(None)

    async def _acquire(self, req: TicketRequest, session: str, out: asyncio.Queue[Any]) -> None:
        out.put_nowait(await self._desk.acquire(req, session))

    async def _publish(self, out: asyncio.Queue[Any]) -> None:
        sent: dict[str, EngineView] = {}
        with self._desk.watched_views() as changed:
            while True:
                views = {view.engine: view for view in self._desk.views()}
                for engine, view in views.items():
                    if sent.get(engine) != view:
                        out.put_nowait(view)
                sent = views
                # Changes within one interval go out together.
                await self._clock.sleep_ms(PUBLISH_MS)
                await changed.wait()
                changed.clear()
