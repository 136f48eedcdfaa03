"""The clients of upstreams on both interfaces, over real connections."""

from __future__ import annotations

from ...clock import SystemClock
from ...connections import ConnectionPool
from ...engine_edge.own_upstream_http import OwnUpstreamHttp
from ...platform.upstream_http import UpstreamHttp
from ...signals import UnreadHeaders

KEPT = 1_000
"""Idle connections that are kept to each upstream, more than a test has requests."""


def upstream_client(is_own: bool) -> UpstreamHttp | OwnUpstreamHttp:
    """Return the client of the product's own interface, or that of the platform."""
    unread, clock = UnreadHeaders(frozenset(), _ignore), SystemClock()
    if is_own:
        return OwnUpstreamHttp(unread)
    pool = ConnectionPool(lambda service, instance: KEPT, _ignore, clock)
    return UpstreamHttp(unread, pool, clock)


def _ignore(name: str) -> None:
    """Count nothing."""
