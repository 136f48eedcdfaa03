"""A leader that gives out the room of one plain service, without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...concurrency.messages import EndTurn, RunningCalls, ShortageReport
from ...coordination.gateway_session import GatewaySession
from ...coordination.gateway_sessions import GatewaySessions
from ...coordination.room_broadcaster import RoomBroadcaster
from ...coordination.round_pace import RoundPace
from ...limits.limit_registry import LimitRegistry
from ...limits.messages import AskTurn
from ...limits.plain_send_queues import PlainSendQueues
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
    """A leader's queues and what it tells gateways; begins without state."""

    def __init__(self, office: RoomOffice) -> None:
        self._office = office
        limits = LimitRegistry(office.clock)
        self.queues: PlainSendQueues[GatewaySession] = PlainSendQueues(
            limits, lambda service: list(office.upstreams), lambda gateway, one: True, office.clock
        )
        self._pace = RoundPace(office.clock)
        self._is_due = False
        self._sessions = GatewaySessions()
        self._by_gateway: dict[str, GatewaySession] = {}
        self.broadcaster = RoomBroadcaster(self.queues, self._sessions, office.clock)

    def join(self, name: str) -> None:
        self._by_gateway[name] = session = _Line(name, self._office)
        self._sessions.add(session)
        self.broadcaster.send_initial_state(session)

    def remove(self, name: str) -> None:
        session = self._by_gateway.pop(name, None)
        if session is not None:
            self._sessions.remove(session)
            self.queues.drop_gateway(session)

    def handle(self, name: str, msg: Any) -> None:
        session = self._by_gateway.get(name)
        if session is None:
            return
        match msg:
            case AskTurn():
                self.queues.enqueue(msg, session)
            case EndTurn():
                self.queues.end_turn(session, msg)
            case RunningCalls():
                self.queues.note_running(session, msg)
            case ShortageReport():
                self.queues.note_shortage(msg)
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
        for turn in self.queues.due():
            turn.gateway.send(turn.answer)
        self.broadcaster.send_due()
        self._pace.end()

    @property
    def held(self) -> int:
        """Places that it has given out."""
        return self.queues.use(SERVICE)[1]
