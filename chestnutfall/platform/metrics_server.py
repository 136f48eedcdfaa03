"""HTTP server for metrics."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from ..accounts import ProcessAccount
from ..observability.prometheus_metrics import PrometheusMetrics
from ..wire.bounded_connection import BoundedServer
from .accepted_listening import AcceptedListener, listen_accepted


def serve_metrics(
    metrics: PrometheusMetrics,
    address: str,
    refresh: Callable[[], None],
    account: ProcessAccount,
) -> AcceptedListener:
    """Serve `metrics` as text on `address`, at any path.

    `refresh` is called before each answer, to update gauges.
    """

    async def on_request(request: BaseRequest) -> Response:
        refresh()
        return Response(text=metrics.text())

    return listen_accepted(BoundedServer(on_request, account, access_log=None), address)
