"""Orders to all serving engines, during one leader term."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..placement import Order
from ..placement.placer import Placer
from ..routes import EngineSpec
from .engine_control import EngineControl
from .engine_orders import EngineOrders


@dataclass(frozen=True, slots=True)
class EngineRecord:
    """A serving engine and the engine specification of its service."""

    record: UpstreamRecord
    spec: EngineSpec


class OrderDispatcher:
    """Runs one `EngineOrders` task per serving engine."""

    def __init__(
        self,
        placer: Placer,
        control: EngineControl,
        clock: Clock,
        fencing_token: int,
        may_order: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._placer = placer
        self._control = control
        self._clock = clock
        self._fencing_token = fencing_token
        self._may_order = may_order
        self._on_change = on_change
        self._orders: dict[str, tuple[EngineOrders, asyncio.Task[None]]] = {}

    def set_engines(self, engines: Iterable[EngineRecord]) -> None:
        """Update placement and the tasks to the engines that serve now."""
        wanted = {engine.record.instance: engine for engine in engines}
        for instance in set(self._orders) - set(wanted):
            self._orders.pop(instance)[1].cancel()
            self._placer.engine_down(instance)
        for instance, engine in wanted.items():
            record = engine.record
            self._placer.engine_up(
                instance, record.service, record.data_centre, engine.spec, record.build_key
            )
            if instance not in self._orders:
                self._start(record)

    def _start(self, record: UpstreamRecord) -> None:
        orders = EngineOrders(
            record,
            self._control,
            self._placer,
            self._clock,
            self._fencing_token,
            self._may_order,
            self._on_change,
        )
        self._orders[record.instance] = (orders, asyncio.ensure_future(orders.run()))

    def submit(self, order: Order) -> None:
        """Queue an order; it fails at once if its engine no longer serves."""
        if order.instance in self._orders:
            self._orders[order.instance][0].submit(order)
        else:
            self._placer.order_failed(order)

    def resync(self) -> None:
        """Read the reports of the engines whose contents placement is not certain of."""
        for instance in self._placer.table.unsynced():
            if instance in self._orders:
                self._orders[instance][0].resync()

    def close(self) -> None:
        """Cancel all tasks; no more orders are sent in this term."""
        for _, task in self._orders.values():
            task.cancel()
