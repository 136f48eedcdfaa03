"""HTTP client of engines: sends orders and fetches reports."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from ..control.upstream_record import UpstreamRecord
from ..coordination.engine_control import EngineControl, OrderResult
from ..placement import EngineReport, LoadAdapter, LoadModel, Order, UnloadAdapter
from ..wire.bounded_body import read_at_most
from ..wire.direct_connector import DirectConnector
from . import header_names as names
from .upstream_json import UnreadableUpstream, read_report

MAX_CONCURRENT_REPORTS = 64
"""Concurrent requests for reports. A new leader needs the reports of all engines; with thousands of
requests at once, most time out and are repeated, and each takes a file descriptor."""
REPORT_TIMEOUT_S = 0.5
"""An engine reports without queueing the request; after this time the caller asks again."""
MAX_REPORT_BYTES = 256 * 1024
"""Several times the report of an engine with hundreds of runs. One in trouble may write for ever,
and `MAX_CONCURRENT_REPORTS` are read at once."""
_RESULT_BY_STATUS = {
    200: OrderResult.IN_EFFECT,
    202: OrderResult.TAKEN,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    421: OrderResult.REPLACED,
}


class EngineHttp(EngineControl):
    """Sends orders as JSON; `holder` is the name of this host, which orders carry.

    Orders use kept connections. Reports open one connection each, since an engine that has
    reported is rarely asked again soon.
    """

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self._report_slots = asyncio.Semaphore(MAX_CONCURRENT_REPORTS)
        self._report_session = _new_session(DirectConnector(limit=0, force_close=True))
        self._order_session = _new_session(DirectConnector(limit=0, keepalive_timeout=1.5))

    async def order(
        self,
        engine: UpstreamRecord,
        order: Order,
        fencing_token: int,
        orders_taken: int,
        within_ms: float,
    ) -> OrderResult:
        body = _order_body(order)
        body |= {
            "holder": self._holder,
            "fencing_token": fencing_token,
            "expect": orders_taken,  # orders taken so far, not the number of this one
        }
        headers = {names.EXPECTED_INSTANCE: engine.announced_name}
        try:
            call = self._order_session.post(
                f"http://{engine.address}/v1/order",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=within_ms / 1000),
            )
            async with call as resp:
                return _RESULT_BY_STATUS.get(resp.status, OrderResult.UNKNOWN)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OrderResult.UNKNOWN

    async def report(self, engine: UpstreamRecord) -> EngineReport:
        headers = {names.EXPECTED_INSTANCE: engine.announced_name}
        url = f"http://{engine.address}/v1/report"
        try:
            async with self._report_slots, self._report_session.get(url, headers=headers) as resp:
                if resp.status != 200:
                    raise ConnectionError(
                        f"{engine.address}: request for a report answered {resp.status}"
                    )
                return read_report(await read_at_most(resp, MAX_REPORT_BYTES))
        except (aiohttp.ClientError, TimeoutError, UnreadableUpstream) as exc:
            raise ConnectionError(f"{engine.address}: {exc!r}") from exc

    async def close(self) -> None:
        """Close every connection."""
        await self._report_session.close()
        await self._order_session.close()


def _new_session(connector: DirectConnector) -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
    return aiohttp.ClientSession(connector=connector, timeout=timeout, trust_env=False)


def _order_body(order: Order) -> dict[str, Any]:
    """Encode what an order does; an adapter without a version lets the engine choose it."""
    match order:
        case LoadModel(model=model):
            return {"operation": "load", "model": model}
        case UnloadAdapter(adapter=name):
            return {"operation": "unload", "model": name.model, "adapter": name.adapter}
        case LoadAdapter(adapter=name, version=version):
            body: dict[str, Any] = {"operation": "load", "model": name.model}
            body["adapter"] = name.adapter
            if version:
                body["version"] = version
            return body
