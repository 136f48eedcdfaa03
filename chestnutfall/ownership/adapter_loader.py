"""Loads one adapter onto an engine, evicting another if necessary."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum

from ..clock import Clock
from ..engine_edge import EngineApi, Order, OrderKind
from ..membership import UpstreamRegistry
from ..observability.metrics import Metrics
from .load_permits import LoadPermits
from .slot import Slot

log = logging.getLogger(__name__)
LOADING_POLL_MS = 25
LOAD_TIMEOUT_MS = 15_000
STATE_TIMEOUT_MS = 500
ORDER_TIMEOUT_MS = 500
IN_USE_PAUSE_MS = 250
"""How long a slot is not evicted after the engine reported a run on its adapter."""


class LoadOutcome(Enum):
    """How an attempt to load ended."""

    LOADED = "loaded"
    FAILED = "failed"
    NOT_STARTED = "not started"


class AdapterLoader:
    """Carries out loads for one engine's owner: load permits, evictions and orders.

    Parameters
    ----------
    current_epoch : callable
        Returns the epoch of the ownership while this gateway may act for the engine, else None.
    """

    def __init__(
        self,
        engine: str,
        current_epoch: Callable[[], int | None],
        registry: UpstreamRegistry,
        api: EngineApi,
        permits: LoadPermits,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._engine = engine
        self._current_epoch = current_epoch
        self._registry = registry
        self._api = api
        self._permits = permits
        self._clock = clock
        self._metrics = metrics
        self._permit_ends: set[asyncio.Task[None]] = set()

    async def load(
        self,
        adapter: str,
        victim: Slot | None,
        is_wanted: Callable[[], bool],
        on_evicted: Callable[[Slot], None],
    ) -> LoadOutcome:
        """Load `adapter`, after unloading `victim`, for as long as it is wanted.

        `on_evicted` is called with the victim as soon as the engine has accepted its unload.
        """
        permit_id = await self._wait_for_permit(is_wanted)
        if permit_id is None:
            return LoadOutcome.NOT_STARTED
        try:
            if victim is not None:
                if not await self._evict(victim):
                    return LoadOutcome.NOT_STARTED
                on_evicted(victim)
            return await self._load(adapter)
        except ConnectionError as exc:
            log.warning("owner: order to %s not confirmed: %s", self._engine, exc)
            return LoadOutcome.NOT_STARTED
        finally:
            self._end_permit(permit_id)

    async def _wait_for_permit(self, is_wanted: Callable[[], bool]) -> str | None:
        while is_wanted():
            permit_id = await self._permits.take()
            if permit_id is not None:
                return permit_id
        return None

    def _end_permit(self, permit_id: str) -> None:
        task = asyncio.ensure_future(self._permits.end(permit_id))
        self._permit_ends.add(task)
        task.add_done_callback(self._permit_ends.discard)

    async def _evict(self, victim: Slot) -> bool:
        """Unload `victim` unless a request uses it; return whether the order was accepted."""
        address = self._address()
        if address is None or victim.pins:
            return False
        # The engine may still run a request of a gateway that is gone, without a ticket known here,
        # and an eviction would break off its answer. So the engine's own fresh report decides. It
        # misses no request on its way on a ticket of an earlier owner: after a change of owner,
        # `Slot.is_evictable` is false for `MAX_DISPATCH_DELAY_MS`.
        state = await self._api.state(address, STATE_TIMEOUT_MS)
        if victim.adapter in state.running.values() or victim.pins:
            victim.inherited_until_ms = self._clock.now_ms() + IN_USE_PAUSE_MS
            return False
        if not await self.order(OrderKind.UNLOAD, victim.adapter):
            return False
        self._metrics.count("evictions")
        return True

    async def _load(self, adapter: str) -> LoadOutcome:
        started_ms = self._clock.now_ms()
        if not await self.order(OrderKind.LOAD, adapter):
            return LoadOutcome.NOT_STARTED
        found = await self._wait_until_loaded(adapter)
        if found != "ready":
            self._metrics.count("load_failures")
            log.warning("owner: load of %s on %s failed: %s", adapter, self._engine, found)
            return LoadOutcome.FAILED
        self._metrics.timing("load_ms", self._clock.now_ms() - started_ms)
        return LoadOutcome.LOADED

    async def _wait_until_loaded(self, adapter: str) -> str:
        """Poll the engine until the load ends; return the adapter's state, or why there is none."""
        end_ms = self._clock.now_ms() + LOAD_TIMEOUT_MS
        while self._clock.now_ms() < end_ms:
            address = self._address()
            if address is None:
                return "engine gone"
            state = await self._api.state(address, STATE_TIMEOUT_MS)
            found = state.adapters.get(adapter, "missing")
            if found != "loading":
                return found
            await self._clock.sleep_ms(LOADING_POLL_MS)
        return "timeout"

    async def order(self, kind: OrderKind, adapter: str) -> bool:
        """Send an order, and return whether the engine accepted it.

        Raises
        ------
        ConnectionError
            If the answer was lost; the order may or may not take effect.
        """
        # An owner that was paused may resume after its successor took over, and its order would
        # drop an adapter that is in use. Engines with fencing compare the epoch with the newest
        # they have seen. For the others the lease is checked directly before sending, and a
        # successor waits for the lease plus the order timeout.
        epoch = self._current_epoch()
        address = self._address()
        if epoch is None or address is None:
            return False
        outcome = await self._api.order(address, Order(kind, epoch, adapter), ORDER_TIMEOUT_MS)
        if outcome != "accepted":
            log.warning("owner: %s refused %s of %s: %s", self._engine, kind, adapter, outcome)
        return outcome == "accepted"

    def _address(self) -> str | None:
        upstream = self._registry.get(self._engine)
        return None if upstream is None else upstream.address
