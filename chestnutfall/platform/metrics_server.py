"""HTTP server for metrics."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from aiohttp.web_server import Server

from ..observability.prometheus_metrics import PrometheusMetrics
from .listening import Listener, listen


async def serve_metrics(
    metrics: PrometheusMetrics, address: str, refresh: Callable[[], None]
) -> Listener:
    """Serve `metrics` as text on `address`, at any path.

    `refresh` is called before each answer, to update gauges.
    """

    async def on_request(request: BaseRequest) -> Response:
        refresh()
        return Response(text=metrics.text())

    return await listen(Server(on_request, access_log=None), address)
