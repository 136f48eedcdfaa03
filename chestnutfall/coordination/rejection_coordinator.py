"""Upstreams that bear few rejections, during one leader term."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..limits.plain_send_queues import PlainSendQueues
from ..placement.placer import Placer
from ..signals.messages import HeardRejections, RejectionsInForce
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions
from .messages import RunningSends

log = logging.getLogger(__name__)
NEW_TERM_MS = 2_000
"""How long a new leader waits for gateways that do not connect, in which these may reuse the places
that the last leader gave them."""


class RejectionCoordinator:
    """Collects from gateways which upstreams bear few rejections, and tells placement and all.

    A new leader does not know what runs where. Gateways tell it what they have running at such
    upstreams; until all of them have, it uses only a part of the room there.

    Parameters
    ----------
    turns : PlainSendQueues
        Gives out the room of plain services; that of one with such an upstream always.
    """

    def __init__(
        self,
        placer: Placer,
        turns: PlainSendQueues[GatewaySession],
        sessions: GatewaySessions,
        clock: Clock,
    ) -> None:
        self._placer = placer
        self._turns = turns
        self._sessions = sessions
        self._clock = clock
        self._until_ms = clock.now_ms() + NEW_TERM_MS
        self._expected = 0
        self._heard: dict[str, HeardRejections] = {}
        self._adopted: dict[GatewaySession, set[str]] = {}
        self._unplaced: dict[GatewaySession, RunningSends] = {}
        self._services: dict[str, str] = {}

    def add_gateway(self, session: GatewaySession) -> None:
        """Send the known upstreams to a gateway that has just connected."""
        self._expected = max(self._expected, session.known_gateways)
        if self._heard:
            session.send(RejectionsInForce(tuple(self._heard.values())))
        self._be_careful()

    def remove_gateway(self, session: GatewaySession) -> None:
        """Forget what a disconnected gateway told."""
        self._adopted.pop(session, None)
        self._unplaced.pop(session, None)

    def record(self, report: HeardRejections) -> None:
        """Record what an upstream's answer declared, and send it to all gateways if it is new."""
        known = self._heard.get(report.instance)
        if known == report or (known is None and report.per_s is None):
            return
        if report.per_s is None:
            del self._heard[report.instance]
        else:
            self._heard[report.instance] = report
        log.info("rejections: instance=%s bears=%s", report.instance, report.per_s)
        self._apply(report)
        self._sessions.broadcast(RejectionsInForce((report,)))

    def _apply(self, report: HeardRejections) -> None:
        engine = self._placer.engines.get(report.instance)
        if engine is not None:
            engine.rejections.per_s = report.per_s
            self._be_careful()
            return
        plain = {
            name: one.per_s
            for name, one in self._heard.items()
            if one.per_s is not None and name in self._services
        }
        self._turns.set_rejections(plain, {self._services[name] for name in plain})

    def set_serving(self, serving: Iterable[UpstreamRecord]) -> None:
        """Apply what is known to upstreams that serve now, and forget the others."""
        services = {one.instance: one.service for one in serving}
        if services == self._services:
            return
        self._services = services
        for instance in [one for one in self._heard if one not in services]:
            # A new leader may hear of an upstream before it knows that it serves.
            if self._clock.now_ms() >= self._until_ms:
                del self._heard[instance]
        for report in self._heard.values():
            self._apply(report)
        for session, sends in list(self._unplaced.items()):
            self.adopt(session, sends)

    def adopt(self, session: GatewaySession, running: RunningSends) -> None:
        """Count the requests that a gateway has running and this leader did not place."""
        self._unplaced.pop(session, None)
        before = self._adopted.pop(session, set())
        now = {one.req.ticket for one in running.sends}
        for ticket in before - now:
            self._placer.withdraw(ticket)
            self._sessions.release_ticket(ticket)
        for one in running.sends:
            if one.instance not in self._placer.engines:
                self._unplaced[session] = running
                continue
            self._placer.adopt(one.req, one.instance)
            self._sessions.adopt_ticket(one.req, session)
        self._adopted[session] = now
        session.has_told_running = True
        self._be_careful()

    def _be_careful(self) -> None:
        """Set which part of the engines' batches is used until all gateways have told."""
        if not self._heard:
            return
        told = self._sessions.count_told_running()
        fraction = min(told / self._expected, 1.0) if self._expected else 1.0
        until_ms = self._until_ms if fraction < 1.0 else 0
        for instance in self._heard:
            engine = self._placer.engines.get(instance)
            if engine is not None:
                engine.rejections.careful_until_ms = until_ms
                engine.rejections.careful_fraction = fraction
