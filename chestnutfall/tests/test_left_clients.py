"""Requests whose clients leave before they are answered."""

from __future__ import annotations

import asyncio
import unittest

import uvloop

from ..routes import RouteKind
from .fakes.served_gateway import ServedGateway, request

CLIENTS = 50
POLL_S = 0.001
KINDS = (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)


async def _leave_unread(kind: RouteKind, is_kept: bool) -> int:
    """Return how many requests reach the upstream whose clients left before they were read."""
    gateway = ServedGateway(kind)
    await gateway.start()
    # These leave idle connections to the upstream, over which a request is sent at once.
    kept = [gateway.connect() for _ in range(CLIENTS)]
    await gateway.serve(kept)
    gateway.arrived.clear()
    clients = kept if is_kept else [gateway.connect() for _ in range(CLIENTS)]
    for number, client in enumerate(clients):
        client.setblocking(False)
        client.send(request(f"left-{number}"))
        client.close()
    while gateway.ended("caller_left") < CLIENTS:
        await asyncio.sleep(POLL_S)
    await gateway.stop()
    return len(gateway.arrived)


class UnreadCloseTest(unittest.TestCase):
    # Guards against requests that are sent on after their clients left: the gateway is late, and
    # reads a request while the end of its connection lies unread right behind it.
    def test_a_request_that_was_left_before_it_was_read_is_not_sent(self) -> None:
        for kind in KINDS:
            for is_kept in (True, False):
                with self.subTest(kind=kind.name, is_kept=is_kept):
                    self.assertEqual(uvloop.run(_leave_unread(kind, is_kept)), 0)
