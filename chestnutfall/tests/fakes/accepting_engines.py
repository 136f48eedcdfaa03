"""A fake of the orders and reports between a leader and engines: every order is accepted."""

from __future__ import annotations

from typing import Any

from ...control.upstream_record import UpstreamRecord
from ...coordination.engine_control import EngineControl, OrderResult
from ...placement import EngineReport


class AcceptingEngines(EngineControl):
    """Accepts every order without effect and reports engines that hold only their base model.

    Attributes
    ----------
    orders : list of (int, Any)
        Fencing token and order of each call, in order.
    """

    def __init__(self) -> None:
        self.orders: list[tuple[int, Any]] = []

    async def order(
        self,
        engine: UpstreamRecord,
        order: Any,
        fencing_token: int,
        orders_taken: int,
        within_ms: float,
    ) -> OrderResult:
        self.orders.append((fencing_token, order))
        return OrderResult.TAKEN

    async def report(self, engine: UpstreamRecord) -> EngineReport:
        return EngineReport({"base": 1}, {}, {}, 0)
