"""Sharing of upstream backoffs between gateways, during one leader term."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..control.upstream_record import UpstreamRecord
from ..placement.placer import Placer
from ..signals.backoff_registry import BackoffRegistry
from ..signals.messages import BackoffHints, HeardBackoff
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions

SEND_INTERVAL_MS = 100
"""Each gateway that tries a plain upstream learns of its backoff by itself; hints save it the
attempt."""
MAX_HINTS = 64
"""Hints in one message. If more upstreams back off at once, gateways learn of the rest by
themselves."""


class BackoffCoordinator:
    """Collects backoffs that gateways received, and sends those of plain upstreams to all gateways.

    Backoffs of engines are not sent: the leader uses the same registry when it places requests on
    engines.
    """

    def __init__(
        self, registry: BackoffRegistry, placer: Placer, sessions: GatewaySessions, clock: Clock
    ) -> None:
        self._registry = registry
        self._placer = placer
        self._sessions = sessions
        self._clock = clock
        self._new_hints: dict[str, HeardBackoff] = {}
        self._due_ms = clock.now_ms()

    def set_serving(self, serving: Iterable[UpstreamRecord]) -> None:
        """Drop the backoffs of upstreams that no longer serve."""
        self._registry.forget_absent({one.instance for one in serving})

    def record_backoff(self, session: GatewaySession, report: HeardBackoff) -> None:
        """Record a backoff that an upstream asked a gateway for."""
        is_new = self._registry.update(session.gateway, report)
        if is_new and report.instance not in self._placer.engines:
            self._new_hints[report.instance] = report

    def remove_gateway(self, session: GatewaySession) -> None:
        """Drop the backoffs of a disconnected gateway."""
        self._registry.forget_gateway(session.gateway)

    def send_initial_state(self, session: GatewaySession) -> None:
        """Send the current backoffs to a gateway that has just connected."""
        found = (
            one for one in self._registry.active_hints() if one.instance not in self._placer.engines
        )
        hints = tuple(found)[-MAX_HINTS:]
        if hints:
            session.send(BackoffHints(hints))

    def send_due(self) -> None:
        """Send the new backoffs to all gateways, at most once per `SEND_INTERVAL_MS`."""
        now_ms = self._clock.now_ms()
        if not self._new_hints or now_ms < self._due_ms:
            return
        self._due_ms = now_ms + SEND_INTERVAL_MS
        hints = tuple(self._new_hints.values())[-MAX_HINTS:]
        self._new_hints.clear()
        self._sessions.broadcast(BackoffHints(hints))
