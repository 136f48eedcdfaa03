"""The server side of the streams between gateways."""

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
PUBLISH_INTERVAL_MS = 50
"""Least time between two rounds of changed views on one stream."""


class PeerServer:
    """Serves the streams of other gateways and tracks which of them are connected.

    On each stream it answers ticket requests, passes reports on to the engine owners and publishes
    the views of the engines that this gateway owns.
    """

    def __init__(self, engine_owners: EngineOwners, clock: Clock) -> None:
        self._engine_owners = engine_owners
        self._clock = clock
        self._connected: dict[str, int] = {}

    def is_connected(self, session: str) -> bool:
        """Whether the gateway with this session has a stream to this one now."""
        return self._connected.get(session, 0) > 0

    async def serve(self, messages: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        """Serve one stream until it ends; a stream that does not begin with `Hello` is closed."""
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
                        self._engine_owners.handle(msg)
        finally:
            # The stream has ended. A ticket granted now could not be delivered but would pin an
            # adapter, so the requests in progress are cancelled.
            for task in waiting:
                task.cancel()
            out.put_nowait(None)

    async def _acquire(self, req: TicketRequest, session: str, out: asyncio.Queue[Any]) -> None:
        out.put_nowait(await self._engine_owners.acquire(req, session))

    async def _publish(self, out: asyncio.Queue[Any]) -> None:
        sent: dict[str, EngineView] = {}
        with self._engine_owners.watched_views() as changed:
            while True:
                views = {view.engine: view for view in self._engine_owners.views()}
                for engine, view in views.items():
                    if sent.get(engine) != view:
                        out.put_nowait(view)
                sent = views
                # Changes within one interval are sent together.
                await self._clock.sleep_ms(PUBLISH_INTERVAL_MS)
                await changed.wait()
                changed.clear()
