"""Counters and histograms as text."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from ..observability.histograms import Histograms
from .listening import listen


async def serve_metrics(
    metrics: Histograms, address: str, refresh: Callable[[], None]
) -> web.ServerRunner:
    """Serve `metrics` on `address`; `refresh` brings its gauges up to date first."""

    async def on_call(request: web.BaseRequest) -> web.Response:
        refresh()
        return web.Response(text=metrics.text())

    return await listen(web.Server(on_call, access_log=None), address)
