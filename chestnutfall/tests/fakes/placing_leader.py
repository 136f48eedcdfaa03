"""A leader's placement of calls, turns and backoffs, without a network or a replicated log."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ...clock import Clock
from ...concurrency.messages import EndTurn, RunningCalls, ShortageReport
from ...concurrency.turn_messages import AskTurn
from ...control.upstream_record import UpstreamRecord
from ...coordination.backoff_coordinator import BackoffCoordinator
from ...coordination.gateway_session import GatewaySession
from ...coordination.gateway_sessions import GatewaySessions
from ...coordination.limit_coordinator import LimitCoordinator
from ...coordination.messages import (
    AnswerRepeat,
    AskRepeat,
    PlaceStream,
    Release,
    SilentRun,
    Withdraw,
)
from ...coordination.origin_coordinator import OriginCoordinator
from ...limits.limit_registry import LimitRegistry
from ...limits.messages import HeardLimit
from ...placement import (
    EngineReport,
    Grant,
    LoadAdapter,
    LoadModel,
    Order,
    PlaceRequest,
    Reject,
    RunOutcome,
    UnloadAdapter,
)
from ...placement.placer import Placer
from ...resumption.messages import AskOrigin, HeardOrigins
from ...signals.backoff_registry import BackoffRegistry
from ...signals.messages import HeardBackoff
from .signalling_upstream import ENGINES, SPEC, SignallingUpstream, mixed_services


class PlacingLeader:
    """A leader's placer and its coordinators of limits and backoffs, with real decision code.

    It begins without any state of the previous leader.

    Parameters
    ----------
    upstreams : callable
        Returns the serving upstreams; called by `update_upstreams`.
    on_order : callable
        Called with each order to an engine.
    """

    def __init__(
        self,
        upstreams: Callable[[], Iterable[SignallingUpstream]],
        on_order: Callable[[Order], None],
        clock: Clock,
    ) -> None:
        self._upstreams = upstreams
        self._on_order = on_order
        limits, backoffs = LimitRegistry(clock), BackoffRegistry(clock)
        self._sessions = GatewaySessions()
        self.placer = Placer(clock, limits, backoffs)
        self._limits = LimitCoordinator(limits, backoffs, self.placer, self._sessions, clock)
        self._backoffs = BackoffCoordinator(backoffs, self.placer, self._sessions, clock)
        self.origins = OriginCoordinator(self.placer, self._sessions, clock)
        self._by_gateway: dict[str, GatewaySession] = {}
        self.update_upstreams()

    def update_upstreams(self) -> None:
        """Read the serving upstreams again and apply the changes."""
        upstreams = list(self._upstreams())
        records = [one.record for one in upstreams]
        for instance in set(self.placer.engines) - {one.instance for one in records}:
            self.placer.engine_down(instance)
        for one in upstreams:
            if one.record.service == ENGINES and one.record.instance not in self.placer.engines:
                self._add_engine(one.record, one)
        self.origins.set_mixed(mixed_services(records))
        self._limits.set_serving(records)
        self._backoffs.set_serving(records)

    def _add_engine(self, record: UpstreamRecord, engine: SignallingUpstream) -> None:
        self.placer.engine_up(record.instance, record.service, "dc", SPEC, record.build_key)
        report = EngineReport({"base": 1}, dict(engine.holds), {}, 0)
        self.placer.engine_reported(record.instance, report)

    def add_gateway(self, name: str) -> None:
        """Open a session for a gateway and send it the initial state."""
        self._by_gateway[name] = session = GatewaySession(name)
        self._sessions.add(session)
        self.origins.add_gateway(session)
        self._limits.send_initial_state(session)
        self._backoffs.send_initial_state(session)

    def remove_gateway(self, name: str) -> None:
        """End a gateway's session and withdraw its tickets; does nothing without a session."""
        session = self._by_gateway.pop(name, None)
        if session is not None:
            for ticket in self._sessions.remove(session):
                self.placer.withdraw(ticket)
                self.origins.not_granted(ticket)
            self.origins.remove_gateway(session)
            self._limits.remove_gateway(session)
            self._backoffs.remove_gateway(session)

    def handle(self, name: str, msg: Any) -> None:
        """Handle a message from a gateway that has a session."""
        session = self._by_gateway[name]
        match msg:
            case HeardLimit():
                self._limits.record_limit(session, msg)
            case HeardBackoff():
                self._backoffs.record_backoff(session, msg)
            case AskTurn():
                self._limits.queue_turn(session, msg)
            case EndTurn():
                self._limits.end_turn(session, msg)
            case RunningCalls() | ShortageReport():
                self._limits.record_room(session, msg)
            case AskRepeat(number):
                session.send(AnswerRepeat(number, False))
            case PlaceRequest():
                self._sessions.assign_ticket(msg.ticket, session)
                self.placer.submit(msg)
            case PlaceStream():
                self._sessions.assign_ticket(msg.req.ticket, session)
                self.origins.place(msg)
            case AskOrigin():
                self.origins.ask(session, msg)
            case HeardOrigins():
                self.origins.record(session, msg)
            case SilentRun(ticket):
                self.placer.note_silent(ticket)
            case Release(ticket, outcome, times):
                self.placer.release(ticket, RunOutcome(outcome), times)
                self._sessions.release_ticket(ticket)
            case Withdraw(ticket):
                self.placer.withdraw(ticket)
                self._sessions.release_ticket(ticket)

    def decide(self) -> None:
        """Send the decisions, orders, turns and hints that are due."""
        for decision in self.placer.decide():
            match decision:
                case Grant(ticket):
                    self.origins.granted(decision)
                    self._sessions.send_to_holder(ticket, decision)
                case Reject(ticket):
                    self.origins.not_granted(ticket)
                    self._sessions.send_to_holder(ticket, decision)
                    self._sessions.release_ticket(ticket)
                case LoadAdapter():
                    self.placer.table.note_taken(decision)
                    self._on_order(decision)
                case UnloadAdapter() | LoadModel():
                    self._on_order(decision)
        self._limits.send_due()
        self._backoffs.send_due()
        self.origins.send_due()

    def has_messages(self, name: str) -> bool:
        """Return whether messages for a gateway are queued."""
        return bool(self._by_gateway[name].out._queue)  # type: ignore[attr-defined]

    def take_messages(self, name: str) -> list[Any]:
        """Remove the queued messages for a gateway and return them."""
        session = self._by_gateway[name]
        return [session.out.get_nowait() for _ in range(session.out.qsize())]
