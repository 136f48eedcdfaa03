"""Tells gateways which plain services are short of room."""

from __future__ import annotations

import logging

from ..clock import Clock
from ..concurrency.messages import RoomInForce, ServiceRoomState
from ..limits.plain_send_queues import PlainSendQueues
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions

log = logging.getLogger(__name__)
SEND_INTERVAL_MS = 100
"""The first change is sent at once; further ones wait so long."""
PLACES_INTERVAL_MS = 1_000
"""How often changed places alone are sent; gateways need them only without a leader."""
LOG_INTERVAL_MS = 1_000
"""How often the state of a service that is short is logged."""


class RoomBroadcaster:
    """Sends the services that are short of room to all gateways as they change, and logs them."""

    def __init__(
        self, queues: PlainSendQueues[GatewaySession], sessions: GatewaySessions, clock: Clock
    ) -> None:
        self._queues = queues
        self._sessions = sessions
        self._clock = clock
        self._sent: dict[str, dict[str, int]] = {}
        self._due_ms = self._places_due_ms = self._log_due_ms = clock.now_ms()

    def send_initial_state(self, session: GatewaySession) -> None:
        """Send the services that are short to a gateway that has just connected."""
        if self._sent:
            session.send(RoomInForce(_states(self._sent)))

    def send_due(self) -> None:
        """Send what changed."""
        now_ms = self._clock.now_ms()
        # A new leader may hear of a shortage before it knows the upstreams. Gateways keep the
        # places that the last one told.
        short = {
            service
            for service in self._queues.short_services()
            if service in self._sent or self._queues.places(service)
        }
        if short and now_ms >= self._log_due_ms:
            self._log_due_ms = now_ms + LOG_INTERVAL_MS
            self._log(short)
        if now_ms < self._due_ms:
            return
        if short == self._sent.keys() and (not short or now_ms < self._places_due_ms):
            return
        self._due_ms, self._places_due_ms = now_ms + SEND_INTERVAL_MS, now_ms + PLACES_INTERVAL_MS
        self._send({service: self._queues.places(service) for service in short})

    def _send(self, short: dict[str, dict[str, int]]) -> None:
        changed = {name: one for name, one in short.items() if self._sent.get(name) != one}
        ended = [service for service in self._sent if service not in short]
        for service, places in changed.items():
            if service not in self._sent:
                log.info("room: service=%s short=1 places=%d", service, sum(places.values()))
        for service in ended:
            log.info("room: service=%s short=0", service)
        self._sent = short
        plenty = tuple(ServiceRoomState(service, False, {}) for service in ended)
        if changed or ended:
            self._sessions.broadcast(RoomInForce((*_states(changed), *plenty)))

    def _log(self, short: set[str]) -> None:
        for service in sorted(short):
            waiting, held, places = self._queues.use(service)
            log.info(
                "room: service=%s waiting=%d held=%d places=%d", service, waiting, held, places
            )


def _states(short: dict[str, dict[str, int]]) -> tuple[ServiceRoomState, ...]:
    return tuple(ServiceRoomState(service, True, places) for service, places in short.items())
