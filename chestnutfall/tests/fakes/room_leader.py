"""A leader that gives out the room of one plain service, without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...concurrency.messages import EndTurn, RunningCalls, ShortageReport
from ...concurrency.turn_messages import AskTurn
from ...coordination.gateway_session import GatewaySession
from ...coordination.gateway_sessions import GatewaySessions
from ...coordination.limit_coordinator import LimitCoordinator
from ...coordination.round_pace import RoundPace
from ...limits.limit_registry import LimitRegistry
from ...placement.placer import Placer
from ...signals.backoff_registry import BackoffRegistry
from .accounts import usual_memory
from .room_load import SERVICE

if TYPE_CHECKING:
    from .room_office import RoomOffice


class _Line(GatewaySession):
    """A session whose messages reach the gateway after a hop."""

    def __init__(self, name: str, office: RoomOffice) -> None:
        super().__init__(name)
        self._office = office

    def send(self, msg: Any) -> None:
        self._office.to_gateway(self.gateway, msg)


class RoomLeader:
    """A leader's real queues and what it tells gateways; begins without state."""

    def __init__(self, office: RoomOffice) -> None:
        self._office = office
        clock = office.clock
        limits, backoffs = LimitRegistry(clock), BackoffRegistry(clock)
        self._pace = RoundPace(clock)
        self._is_due = False
        self._sessions = GatewaySessions(usual_memory())
        self._coordinator = LimitCoordinator(
            limits, backoffs, Placer(clock, limits), self._sessions, clock
        )
        self.queues = self._coordinator.turns
        self._by_gateway: dict[str, GatewaySession] = {}
        # Upstreams announce themselves after the first gateways have joined.
        clock.at(20, self._set_serving)

    def _set_serving(self) -> None:
        self._coordinator.set_serving([one.record for one in self._office.upstreams.values()])

    def join(self, name: str) -> None:
        """Open the session of a gateway."""
        self._by_gateway[name] = session = _Line(name, self._office)
        self._sessions.add(session)
        self._coordinator.send_initial_state(session)

    def remove(self, name: str) -> None:
        """End the session of a gateway."""
        session = self._by_gateway.pop(name, None)
        if session is not None:
            self._sessions.remove(session)
            self._coordinator.remove_gateway(session)

    def handle(self, name: str, msg: Any) -> None:
        """Handle a message of a gateway that has a session."""
        session = self._by_gateway.get(name)
        if session is None:
            return
        match msg:
            case AskTurn():
                self._coordinator.queue_turn(session, msg)
            case EndTurn():
                self._coordinator.end_turn(session, msg)
            case RunningCalls() | ShortageReport():
                self._coordinator.record_room(session, msg)
        self._decide_soon()

    def _decide_soon(self) -> None:
        """Decide after the pause since the last round."""
        if not self._is_due:
            self._is_due = True
            self._office.clock.at(self._pace.pause_ms(), self.decide)

    def decide(self) -> None:
        """Give the turns and send the changes that are due."""
        self._is_due = False
        if self._office.leader is not self:
            return
        self._pace.begin()
        self._coordinator.send_due()
        self._pace.end()

    @property
    def held(self) -> int:
        """Places that it has given out."""
        return self.queues.use(SERVICE)[1]
