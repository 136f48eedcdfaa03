"""HTTP server for metrics."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from ..observability.prometheus_metrics import PrometheusMetrics
from .listening import listen


async def serve_metrics(
    metrics: PrometheusMetrics, address: str, refresh: Callable[[], None]
) -> web.ServerRunner:
    """Serve `metrics` as text on `address`, at any path.

    `refresh` is called before each answer, to update gauges.
    """

    async def on_request(request: web.BaseRequest) -> web.Response:
        refresh()
        return web.Response(text=metrics.text())

    return await listen(web.Server(on_request, access_log=None), address)
