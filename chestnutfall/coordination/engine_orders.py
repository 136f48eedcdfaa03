"""Sequential orders to one engine."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..placement import LoadAdapter, Order, UnloadAdapter
from ..placement.placer import Placer
from .answer_timer import AnswerTimer
from .engine_control import EngineControl, OrderResult
from .report_reader import REPORT_LAG_MS, ReportReader

log = logging.getLogger(__name__)
BUSY_RETRY_MS = 25
"""A tenth of a load, so that a free load slot is used soon."""
MAX_RETRIES = 12
"""An engine runs four loads at a time, and a load takes about 250 ms. So a load slot becomes free
after a quarter of that on average, and certainly within this many retries."""
MAX_UNCERTAIN_CONFLICTS = 9
"""After an unanswered order, a conflict still most likely means that the engine is busy. A busy
engine has a free load slot again within this many retries; only after them is reading the report
worth the wait."""
STRAY_ORDER_MS = 15_000
"""Unanswered orders have been carried out up to twelve seconds later."""


class EngineOrders:
    """Sends orders to one engine, one at a time, while this controller leads.

    Each order carries the number of orders that the engine took before it. If the answer to an
    order is lost and the engine carries it out seconds later, the count no longer matches and the
    engine refuses it. So a late order can't load one adapter too many, and can't drop one that is
    in use.

    Parameters
    ----------
    record : UpstreamRecord
        Incarnation of the engine.
    control : EngineControl
        Connection to the engine.
    placer : Placer
        Placement, which is notified of the results.
    clock : Clock
        Clock for timeouts and pauses.
    fencing_token : int
        Token of this leader term.
    may_order : callable
        Whether this controller still leads.
    on_change : callable
        Called after each order and each report.
    """

    def __init__(
        self,
        record: UpstreamRecord,
        control: EngineControl,
        placer: Placer,
        clock: Clock,
        fencing_token: int,
        may_order: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.instance = record.instance
        self._record = record
        self._control = control
        self._reports = ReportReader(record, control, clock)
        self._placer = placer
        self._clock = clock
        self._fencing_token = fencing_token
        self._may_order = may_order
        self._on_change = on_change
        self._queue: asyncio.Queue[Order | None] = asyncio.Queue()
        self._orders_taken = 0
        self._ordered_ms = clock.now_ms() - REPORT_LAG_MS
        self._fenced = False
        self._resync_queued = False
        self._count_is_certain = False
        self._timer = AnswerTimer()
        self._unanswered_count = -1
        self._unanswered_ms = 0

    def submit(self, order: Order) -> None:
        """Queue an order."""
        self._queue.put_nowait(order)

    def resync(self) -> None:
        """Queue a read of the engine's report, unless one is queued already."""
        if not self._resync_queued:
            self._resync_queued = True
            self._queue.put_nowait(None)

    async def run(self) -> None:
        """Send queued orders until cancelled or the engine is removed from placement."""
        await self._read_report()
        while True:
            order = self._dequeued(await self._queue.get())
            engine = self._placer.engines.get(self.instance)
            if engine is None:
                return
            if not engine.synced:
                self._fail_queued(order)
                await self._read_report()
            elif order is not None:
                await self._carry_out(order)
            self._on_change()

    def _fail_queued(self, order: Order | None) -> None:
        if order is not None:
            self._placer.order_failed(order)
        while not self._queue.empty():
            queued = self._dequeued(self._queue.get_nowait())
            if queued is not None:
                self._placer.order_failed(queued)

    def _dequeued(self, queued: Order | None) -> Order | None:
        """Note that an entry was taken from the queue, and return it; None asks for a resync."""
        if queued is None:
            self._resync_queued = False
        return queued

    async def _carry_out(self, order: Order) -> None:
        if self._fenced or not self._may_order():
            self._placer.order_failed(order)
            return
        match await self._send(order):
            case OrderResult.TAKEN:
                self._orders_taken += 1
                self._update_stray_order()
                await self._on_taken(order, OrderResult.TAKEN)
            case OrderResult.IN_EFFECT:
                self._orders_taken += isinstance(order, UnloadAdapter)
                await self._on_taken(order, OrderResult.IN_EFFECT)
            case OrderResult.FENCED:
                # A newer leader sends orders to this engine; no order with this token can succeed
                # any more.
                self._fenced = True
                self._placer.order_failed(order)
            case _:
                self._count_is_certain = False
                self._placer.order_failed(order)
                self.resync()

    async def _on_taken(self, order: Order, result: OrderResult) -> None:
        match order:
            case LoadAdapter():
                self._placer.table.note_taken(order)
            case UnloadAdapter() if result is OrderResult.TAKEN:
                await self._wait_until_dropped(order)
            case _:
                pass

    async def _send(self, order: Order) -> OrderResult:
        """Send an order, and repeat it while the engine is busy or does not answer."""
        result = await self._send_once(order)
        conflicts = 0
        for _ in range(MAX_RETRIES):
            if not self._may_order():
                break
            match result:
                case OrderResult.UNKNOWN:
                    # The same order with the same count may be sent again at once: however many
                    # copies arrive, and however late, the engine takes only one.
                    self._count_is_certain = False
                case OrderResult.CONFLICT if (
                    self._count_is_certain or conflicts < MAX_UNCERTAIN_CONFLICTS
                ):
                    # A conflict means that the engine is busy, or that it took orders that are not
                    # counted here. If every order since the last report had a clear answer, only
                    # the first is possible; reading a report would needlessly stop this engine's
                    # loads for a while.
                    conflicts += 1
                    await self._clock.sleep_ms(BUSY_RETRY_MS)
                case _:
                    break
            result = await self._send_once(order)
        self._count_is_certain = self._count_is_certain or result is OrderResult.TAKEN
        return result

    async def _send_once(self, order: Order) -> OrderResult:
        self._ordered_ms = self._clock.now_ms()
        result = await self._control.order(
            self._record,
            order,
            self._fencing_token,
            self._orders_taken,
            self._timer.timeout_ms,
        )
        took_ms = self._clock.now_ms() - self._ordered_ms
        if result is OrderResult.UNKNOWN:
            self._timer.unanswered()
            self._unanswered_count = max(self._unanswered_count, self._orders_taken)
            self._unanswered_ms = self._clock.now_ms()
        else:
            self._timer.answered(took_ms)
        log.info(
            "order: instance=%s order=%s token=%d taken=%d result=%s ms=%d",
            self.instance,
            order,
            self._fencing_token,
            self._orders_taken,
            result.value,
            took_ms,
        )
        return result

    async def _wait_until_dropped(self, order: UnloadAdapter) -> None:
        """Wait until an engine that drops an adapter after its last requests has dropped it.

        Requests that an earlier leader placed, or that a gateway sent without placement, are
        unknown here. While the adapter still occupies its slot, the load that follows this order
        would be one too many, and an engine that is ordered to hold too much crashes.
        """
        if await self._reports.wait_until_dropped(order.adapter):
            return
        log.warning("orders: instance=%s has not dropped %s in time", self.instance, order.adapter)
        self._count_is_certain = False
        self._placer.order_failed(order)
        self.resync()

    def _update_stray_order(self) -> None:
        """Reserve a slot while an unanswered order may still match the engine's order count.

        An engine may answer that it took an order without counting it. Later orders then carry a
        count that the engine reaches only after some more orders. If one of them was left
        unanswered, the engine may carry it out at that moment: one adapter too many on a full
        engine, which crashes with all its requests.
        """
        engine = self._placer.engines.get(self.instance)
        if engine is not None:
            recent = self._clock.now_ms() - self._unanswered_ms < STRAY_ORDER_MS
            engine.has_stray_order = recent and self._unanswered_count > self._orders_taken

    async def _read_report(self) -> None:
        report = await self._reports.read_settled(self._ordered_ms, self._orders_taken)
        self._orders_taken = report.orders_taken
        self._count_is_certain = True
        self._placer.engine_reported(self.instance, report)
        self._update_stray_order()
        self._on_change()
