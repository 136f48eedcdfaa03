"""The engines that this gateway owns."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..clock import Clock
from ..engine_edge import EngineApi
from ..membership import GatewayAgent, UpstreamRegistry
from ..observability.metrics import Metrics
from .engine_owner import EngineOwner
from .load_permits import LoadPermits
from .messages import (
    EngineBackoff,
    EngineLimit,
    EngineView,
    OwnerNotification,
    ResumeSent,
    TicketEnd,
    TicketGrant,
    TicketRefusal,
    TicketRequest,
)

log = logging.getLogger(__name__)


class EngineOwners:
    """Starts and ends an `EngineOwner` for each engine as ownership changes."""

    def __init__(
        self,
        agent: GatewayAgent,
        registry: UpstreamRegistry,
        api: EngineApi,
        permits: LoadPermits,
        clock: Clock,
        metrics: Metrics,
        is_gone: Callable[[str], bool],
    ) -> None:
        self._agent = agent
        self._registry = registry
        self._api = api
        self._permits = permits
        self._clock = clock
        self._metrics = metrics
        self._is_gone = is_gone
        self._owners: dict[str, tuple[int, EngineOwner, asyncio.Task[None]]] = {}
        self._closing: dict[str, asyncio.Task[None]] = {}
        self._view_changes: set[asyncio.Event] = set()

    def acting(self) -> Iterator[str]:
        """Engines that this gateway acts for, those being handed over included."""
        yield from sorted({*self._owners, *self._closing})

    def reconcile_ownership(self) -> None:
        """Start and end owners so that they match the ownership assigned by the controllers."""
        for engine, (epoch, owner, task) in list(self._owners.items()):
            if self._agent.ownership_epoch(engine) != epoch:
                task.cancel()
                del self._owners[engine]
                self._close(engine, owner)
        for engine in self._agent.owners:
            owned_epoch = self._agent.ownership_epoch(engine)
            if (
                owned_epoch is not None
                and engine not in self._owners
                and engine not in self._closing
            ):
                self._begin(engine, owned_epoch)

    def _begin(self, engine: str, epoch: int) -> None:
        def current_epoch() -> int | None:
            return epoch if self._agent.ownership_epoch(engine) == epoch else None

        owner = EngineOwner(
            engine,
            current_epoch,
            self._registry,
            self._api,
            self._permits,
            lambda: self._agent.config,
            self._clock,
            self._metrics,
            self._is_gone,
            self._view_changed,
        )
        self._owners[engine] = (epoch, owner, asyncio.ensure_future(owner.run()))
        log.info("owner: acting for %s in epoch %d", engine, epoch)

    def _close(self, engine: str, owner: EngineOwner) -> None:
        task = asyncio.ensure_future(owner.close())
        self._closing[engine] = task
        task.add_done_callback(lambda _: self._closing.pop(engine, None))
        log.info("owner: no longer acting for %s", engine)

    async def acquire(self, req: TicketRequest, session: str) -> TicketGrant | TicketRefusal:
        """Ask the owner of `req.engine` for a ticket."""
        found = self._owners.get(req.engine)
        if found is None:
            return TicketRefusal(req.attempt_id, "not_owner", 0)
        return await found[1].acquire(req, session)

    def handle(self, msg: OwnerNotification) -> None:
        """Pass a notification of an entry gateway to the owner of its engine."""
        match msg:
            case TicketEnd():
                self.end(msg)
            case EngineLimit(engine, report) if engine in self._owners:
                self._owners[engine][1].note_limit(report)
            case EngineBackoff(engine, asked) if engine in self._owners:
                self._owners[engine][1].note_backoff(asked)
            case ResumeSent(engine) if engine in self._owners:
                self._owners[engine][1].note_resume()
            case _:
                log.debug("owner: ignored %s for an engine owned elsewhere", msg)

    def end(self, msg: TicketEnd) -> None:
        """End a ticket, whichever engine it is for."""
        for _, owner, _ in self._owners.values():
            owner.end(msg)

    def views(self) -> Iterator[EngineView]:
        """Yield the published state of each engine."""
        for _, owner, _ in self._owners.values():
            yield owner.view()

    def _view_changed(self) -> None:
        for event in self._view_changes:
            event.set()

    @contextmanager
    def watched_views(self) -> Iterator[asyncio.Event]:
        """Return a context that provides an event, set whenever a view may have changed."""
        event = asyncio.Event()
        self._view_changes.add(event)
        try:
            yield event
        finally:
            self._view_changes.discard(event)

    async def close(self) -> None:
        """Stop acting for every engine, and wait for the hand-overs to end."""
        for engine, (_, owner, task) in list(self._owners.items()):
            task.cancel()
            del self._owners[engine]
            self._close(engine, owner)
        await asyncio.gather(*self._closing.values(), return_exceptions=True)
