"""A leader's parts as the program links them, without a network or a replicated log."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ...accounts import MemoryAccount
from ...clock import Clock
from ...control.control_state import ControlState
from ...control.upstream_record import UpstreamRecord
from ...coordination.gateway_duties import GatewayDuties
from ...coordination.gateway_session import GatewaySession
from ...coordination.leader_parts import LeaderParts
from ...placement import EngineReport, LoadAdapter, Order
from ...settings.quota_bounds import STRICT_QUOTA_BOUNDS
from ...settings.repeat_bounds import RepeatBounds
from .accounts import usual_memory
from .applied_log import AppliedLog
from .signalling_upstream import ENGINES, SPEC, SignallingUpstream

HEARTBEAT_MS = 400
NO_REPEATS = RepeatBounds(0.0, 0.0, 10_000)


class PlacingLeader:
    """The parts of a leader and its duties to gateways; which upstreams serve is given.

    It begins without any state of the previous leader but the replicated one.

    Parameters
    ----------
    upstreams : callable
        Returns the serving upstreams; called by `update_upstreams`.
    on_order : callable
        Called with each order to an engine.
    state : ControlState
        The replicated state, which outlives leaders.
    memory : MemoryAccount, optional
        What requests draw from; by default there is room.
    """

    def __init__(
        self,
        upstreams: Callable[[], Iterable[SignallingUpstream]],
        on_order: Callable[[Order], None],
        state: ControlState,
        clock: Clock,
        memory: MemoryAccount | None = None,
    ) -> None:
        self._upstreams = upstreams
        self._on_order = on_order
        self._state = state
        self._parts = LeaderParts(
            AppliedLog(state),  # type: ignore[arg-type]
            state,
            clock,
            HEARTBEAT_MS,
            NO_REPEATS,
            STRICT_QUOTA_BOUNDS,
            usual_memory(clock) if memory is None else memory,
            lambda service: True,
            lambda serving: None,
            lambda: None,
        )
        self._duties = GatewayDuties(self._parts, lambda: True)
        self.placer, self.origins = self._parts.placer, self._parts.origins
        self._by_gateway: dict[str, GatewaySession] = {}
        self.update_upstreams()

    def update_upstreams(self) -> None:
        """Read the serving upstreams again and apply the changes."""
        upstreams = list(self._upstreams())
        records = [one.record for one in upstreams]
        for record in records:
            self._state.roster.add(record)
        for instance in set(self.placer.engines) - {one.instance for one in records}:
            self.placer.engine_down(instance)
        for one in upstreams:
            if one.record.service == ENGINES and one.record.instance not in self.placer.engines:
                self._add_engine(one.record, one)
        self._parts.set_serving(records, ())

    def _add_engine(self, record: UpstreamRecord, engine: SignallingUpstream) -> None:
        self.placer.engine_up(record.instance, record.service, "dc", SPEC, record.build_key)
        report = EngineReport({"base": 1}, dict(engine.holds), {}, 0)
        self.placer.engine_reported(record.instance, report)

    def add_gateway(
        self, name: str, document_version: int = -1, suspect_parts: tuple[str, ...] = ()
    ) -> None:
        """Open a session for a gateway and send it the initial state."""
        self._by_gateway[name] = session = GatewaySession(name, suspect_parts=suspect_parts)
        self._duties.add(session, document_version)

    def remove_gateway(self, name: str) -> None:
        """End a gateway's session and withdraw its tickets; does nothing without a session."""
        session = self._by_gateway.pop(name, None)
        if session is not None:
            self._duties.remove(session)

    def handle(self, name: str, msg: Any) -> None:
        """Handle a message from a gateway that has a session."""
        self._duties.handle(self._by_gateway[name], msg)

    def decide(self) -> None:
        """Send the state, decisions, orders, turns and hints that are due."""
        self._parts.send_due()
        for order in self._parts.decide():
            if isinstance(order, LoadAdapter):
                self.placer.table.note_taken(order)
            self._on_order(order)

    def has_messages(self, name: str) -> bool:
        """Return whether messages for a gateway are queued."""
        session = self._by_gateway[name]
        return bool(session.out._queue or session._bulk)  # type: ignore[attr-defined]

    def take_messages(self, name: str) -> list[Any]:
        """Remove the queued messages for a gateway and return them, bulk messages last."""
        session = self._by_gateway[name]
        messages = [session.out.get_nowait() for _ in range(session.out.qsize())]
        messages += session._bulk
        session._bulk.clear()
        return messages
