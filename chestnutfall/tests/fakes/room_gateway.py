"""A gateway's selection of the upstreams of one plain service, without a network."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING, Any

from ...concurrency.leaderless_room import LeaderlessRoom
from ...concurrency.messages import RoomInForce
from ...concurrency.turn_messages import AnswerTurn
from ...forwarding.leader_questions import TURN_TIMEOUT_MS, LeaderLost
from ...forwarding.leader_turn_client import turn_question
from ...forwarding.place import SelectionCriteria
from ...forwarding.plain_upstream_selector import PlainUpstreamSelector
from ...limits.known_limits import KnownLimits
from ...signals.known_backoffs import KnownBackoffs
from ...signals.known_signals import KnownSignals
from .room_clock import Reply
from .room_leader import RoomLeader

if TYPE_CHECKING:
    from .room_office import RoomOffice


class RoomGateway:
    """A gateway's real selection of plain upstreams."""

    def __init__(self, name: str, office: RoomOffice) -> None:
        self.name = name
        self._office = office
        clock, rng = office.clock, random.Random(name)
        limits = KnownLimits(lambda report: None, lambda: 1, clock, rng)
        signals = KnownSignals(limits, KnownBackoffs(lambda report: None, clock), clock)
        self.leaderless = LeaderlessRoom(lambda: len(office.gateways), clock, rng)
        self.room = office.known_room(self)
        self.selector = PlainUpstreamSelector(
            lambda service: [one.record for one in office.upstreams.values()],
            signals,
            self._ask,
            clock,
            "dc",
            rng,
            self.room,
            self.send,
        )
        self.connected = True
        self._numbers = itertools.count()
        self._asked: dict[int, Reply] = {}

    def send(self, msg: Any) -> None:
        """Send a message to the leader."""
        if self.connected:
            self._office.to_leader(self.name, msg)

    async def _ask(self, criteria: SelectionCriteria, wait_ms: int) -> AnswerTurn:
        if not self.connected:
            raise LeaderLost("no leader")
        number, reply = next(self._numbers), Reply(self._office.clock)
        self._asked[number] = reply
        self.send(turn_question(number, criteria, wait_ms, self._office.clock.now_ms()))
        late = LeaderLost("not answered")
        self._office.clock.at(wait_ms + TURN_TIMEOUT_MS, lambda: reply.set(None, late))
        try:
            answer: AnswerTurn = await reply
        finally:
            del self._asked[number]
        return answer

    def handle(self, msg: Any) -> None:
        """Handle a message of the leader, if there is one."""
        if not self.connected:
            return
        match msg:
            case AnswerTurn(number) if number in self._asked:
                self._asked[number].set(msg)
            case RoomInForce():
                self.room.apply(msg)

    def lose(self) -> None:
        """Lose the leader."""
        self.connected = False
        for reply in list(self._asked.values()):
            reply.set(None, LeaderLost("gone"))

    def join(self, leader: RoomLeader) -> None:
        """Connect to a leader."""
        self.connected = True
        leader.join(self.name)
        for report in self.room.reports_for_new_leader():
            self.send(report)
