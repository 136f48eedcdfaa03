"""Engines that take every order."""

from __future__ import annotations

from typing import Any

from ...control.upstream_record import UpstreamRecord
from ...coordination.engine_control import EngineControl, OrderResult
from ...placement import EngineReport


class TakingEngines(EngineControl):
    """Takes every order, and notes its fencing token and the order."""

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
