"""The controller's side of gateway streams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from ..clock import Clock
from ..consensus import Replica
from .fleet_leader import FleetLeader
from .gateway_session import GatewaySession
from .messages import PULSE_MS, GatewayHello, GatewayMessage, NotLeading, Pulse


class SessionServer:
    """Serves each gateway's stream in its own task."""

    def __init__(self, replica: Replica, leader: FleetLeader, clock: Clock) -> None:
        self._replica = replica
        self._leader = leader
        self._clock = clock

    async def serve(self, messages: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        """Serve one stream until either side ends it or leadership is lost."""
        hello = await anext(messages)
        term = self._leader.leading()
        if term is None or not isinstance(hello, GatewayHello):
            yield NotLeading(self._replica.leader_address())
            return
        session = GatewaySession(
            hello.gateway,
            hello.helper_address,
            hello.data_centre,
            hello.known_gateways,
            hello.suspect_parts,
        )
        term.add_gateway(session, hello.document_version)
        reader = asyncio.ensure_future(self._read(messages, term, session))
        try:
            while True:
                try:
                    msg = await session.next(self._clock, PULSE_MS)
                except TimeoutError:
                    # A leader that is cut off must release its gateways; otherwise they miss
                    # changes that the next leader accepts.
                    msg = Pulse() if term.leads() else None
                if msg is None:
                    return
                yield msg
        finally:
            reader.cancel()
            term.remove_gateway(session)

    @staticmethod
    async def _read(messages: AsyncIterator[Any], term: Any, session: GatewaySession) -> None:
        try:
            async for msg in messages:
                if isinstance(msg, GatewayMessage):
                    term.handle(session, msg)
        finally:
            session.send(None)
