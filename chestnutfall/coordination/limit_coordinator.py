"""Request limits and room of plain upstreams, during one leader term."""

from __future__ import annotations

from collections.abc import Iterable

from ..clock import Clock
from ..concurrency.messages import (
    EndTurn,
    RoomInForce,
    RunningCalls,
    ServiceRoomState,
    ShortageReport,
)
from ..concurrency.turn_messages import PLENTY, AnswerTurn, AskTurn
from ..control.upstream_record import UpstreamRecord
from ..limits.limit_registry import LimitRegistry
from ..limits.messages import HeardLimit, LimitsInForce, RequestLimit
from ..limits.plain_send_queues import PlainSendQueues
from ..placement.placer import Placer
from ..signals.backoff_registry import BackoffRegistry
from .gateway_session import GatewaySession
from .gateway_sessions import GatewaySessions
from .room_broadcaster import RoomBroadcaster

SEND_INTERVAL_MS = 100
"""Gateways need limits where they send without asking the leader; the first change is sent at
once."""


class LimitCoordinator:
    """Collects limits from gateways, sends them to all, and schedules calls to plain upstreams.

    Limits of engines are enforced by placement, which grants each send to them.

    Attributes
    ----------
    turns : PlainSendQueues
        Queues of calls to plain services that are limited or short of room.
    """

    def __init__(
        self,
        registry: LimitRegistry,
        backoffs: BackoffRegistry,
        placer: Placer,
        sessions: GatewaySessions,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._placer = placer
        self._sessions = sessions
        self._clock = clock
        self._serving: dict[str, list[str]] = {}
        self.turns: PlainSendQueues[GatewaySession] = PlainSendQueues(
            registry,
            lambda service: self._serving.get(service, []),
            lambda session, instance: backoffs.may_send(session.gateway, instance),
            clock,
        )
        self._room = RoomBroadcaster(self.turns, sessions, clock)
        self._sent: dict[str, float] = {}
        self._sent_changes = 0
        self._due_ms = clock.now_ms()

    @property
    def waiting(self) -> int:
        """Number of calls that wait for their turn."""
        return self.turns.waiting

    def set_serving(self, serving: Iterable[UpstreamRecord]) -> None:
        """Set the upstreams that serve now, and drop the limits of all others."""
        self._serving = {}
        for one in serving:
            self._serving.setdefault(one.service, []).append(one.instance)
        self._registry.forget_absent({one for group in self._serving.values() for one in group})

    def record_limit(self, session: GatewaySession, report: HeardLimit) -> None:
        """Record the limit that an upstream's answer named to a gateway."""
        is_engine = report.instance in self._placer.engines
        if self._registry.update(report, counts_sends=is_engine):
            self._placer.limit_changed(report.instance)
            return
        # A gateway that missed a change of the limit would continue with an old one.
        holds_per_s = self._registry.declared_per_s(report.instance)
        if holds_per_s is None and report.per_s is not None:
            session.send(LimitsInForce((), (report.instance,)))
        elif holds_per_s is not None and holds_per_s != report.per_s:
            session.send(LimitsInForce((RequestLimit(report.instance, holds_per_s),)))

    def queue_turn(self, session: GatewaySession, asked: AskTurn) -> None:
        """Queue a call that waits for its turn."""
        if asked.for_room and not self.turns.gives_room(asked.service):
            # The gateway missed that there is plenty again, or this leader heard of no shortage.
            session.send(RoomInForce((ServiceRoomState(asked.service, False, {}),)))
            session.send(AnswerTurn(asked.number, "", 0, PLENTY))
            return
        self.turns.enqueue(asked, session)

    def end_turn(self, session: GatewaySession, ended: EndTurn) -> None:
        """Free the place of a call that ended, or drop one that no longer waits."""
        self.turns.end_turn(session, ended)

    def record_room(self, session: GatewaySession, report: RunningCalls | ShortageReport) -> None:
        """Record what a gateway tells of the room of a plain service."""
        match report:
            case RunningCalls():
                self.turns.note_running(session, report)
            case ShortageReport():
                self.turns.note_shortage(report)

    def remove_gateway(self, session: GatewaySession) -> None:
        """Drop the queued calls of a disconnected gateway."""
        self.turns.drop_gateway(session)

    def send_initial_state(self, session: GatewaySession) -> None:
        """Send all limits to a gateway that has just connected."""
        limits = self._registry.in_force()
        if limits:
            session.send(LimitsInForce(limits))
        self._room.send_initial_state(session)

    def send_due(self) -> None:
        """Send the turns that are due, changed limits, and changes of room."""
        for turn in self.turns.due():
            turn.gateway.send(turn.answer)
        self._room.send_due()
        self._send_changed()

    def _send_changed(self) -> None:
        now_ms = self._clock.now_ms()
        if self._registry.changes == self._sent_changes or now_ms < self._due_ms:
            return
        self._sent_changes = self._registry.changes
        self._due_ms = now_ms + SEND_INTERVAL_MS
        limits = {limit.instance: limit for limit in self._registry.in_force()}
        changed = [one for name, one in limits.items() if self._sent.get(name) != one.per_s]
        ended = [name for name in self._sent if name not in limits]
        self._sent = {name: one.per_s for name, one in limits.items()}
        if changed or ended:
            self._sessions.broadcast(LimitsInForce(tuple(changed), tuple(ended)))
