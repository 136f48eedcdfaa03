"""Names to each gateway the gateways that help it while it is cut off from upstreams."""

from __future__ import annotations

import logging
import secrets

from ..clock import Clock
from ..paths.helper_ring import RingGateway, helpers_of_all
from ..paths.leader_messages import CanHelp, HelperGateways
from .gateway_session import GatewaySession

log = logging.getLogger(__name__)
REPORTS_INTERVAL_MS = 100
"""Gateways that are cut off within this time are processed together: those of a data centre are."""
MEMBERS_INTERVAL_MS = 1_000
"""The same for gateways that connect or disconnect, which is less urgent. After an outage hundreds
connect while the leader is busiest; each change of the members would change the helpers of many."""
KEY_BYTES = 16


class HelperDirectory:
    """Gateways that are connected and able to help, during one leader term.

    A gateway is sent its helpers when they change, which is when some gateway near it in the ring
    comes, goes, is cut off or no longer is. Otherwise nothing is sent.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._key = secrets.token_hex(KEY_BYTES)
        self._able: dict[GatewaySession, bool] = {}
        self._sent: dict[GatewaySession, tuple[str, ...]] = {}
        self._sent_ms = clock.now_ms()
        self._due_ms: int | None = None

    def add(self, session: GatewaySession) -> None:
        """Add a gateway that has connected."""
        self._able[session] = True
        self._schedule(MEMBERS_INTERVAL_MS)

    def remove(self, session: GatewaySession) -> None:
        """Remove a gateway whose session ended."""
        self._able.pop(session, None)
        self._sent.pop(session, None)
        self._schedule(MEMBERS_INTERVAL_MS)

    def record(self, session: GatewaySession, report: CanHelp) -> None:
        """Record whether a gateway can help others."""
        if self._able.get(session) == report.can:
            return
        self._able[session] = report.can
        self._schedule(REPORTS_INTERVAL_MS)
        log.info("help: gateway=%s can_help=%s", session.gateway, report.can)

    def _schedule(self, interval_ms: int) -> None:
        due_ms = self._sent_ms + interval_ms
        self._due_ms = due_ms if self._due_ms is None else min(self._due_ms, due_ms)

    @property
    def cut_off(self) -> int:
        """Number of gateways that can't help others."""
        return sum(not able for able in self._able.values())

    def send_due(self) -> None:
        """Send the helpers of the gateways whose helpers changed."""
        now_ms = self._clock.now_ms()
        if self._due_ms is None or now_ms < self._due_ms:
            return
        self._sent_ms, self._due_ms = now_ms, None
        helpers = helpers_of_all(
            RingGateway(session.gateway, session.helper_address, session.data_centre, able)
            for session, able in self._able.items()
        )
        for session in self._able:
            addresses = helpers[session.gateway]
            if session.helper_address and self._sent.get(session) != addresses:
                self._sent[session] = addresses
                session.send(HelperGateways(addresses, self._key))
