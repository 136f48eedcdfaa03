"""Queues of calls to the limited or full upstreams of plain services, kept by the leader."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from ..clock import Clock
from ..concurrency.messages import EndTurn, RunningCalls, ShortageReport
from ..concurrency.return_book import ReturnBook
from ..concurrency.room_queue import RefusedCall, RoomQueue
from ..concurrency.service_room import ServiceRoom
from ..concurrency.turn_messages import LIMITED, NO_ROOM, AnswerTurn, AskTurn
from ..concurrency.waiting_call import WaitingCall
from .limit_registry import LimitRegistry
from .turn_round import NO_UPSTREAM_RETRY_MS, TurnRound

NO_OBJECTIVE_MS = 3_600_000
"""Stands for the objective of a call whose gateway states none."""


Gateway = TypeVar("Gateway")
"""Identifies one gateway; compared for equality, hashable."""


@dataclass(frozen=True, slots=True)
class AddressedAnswer(Generic[Gateway]):
    """An answer and the gateway that it goes to."""

    gateway: Gateway
    answer: AnswerTurn


class PlainSendQueues(Generic[Gateway]):
    """Decides which call goes next to the upstreams of each plain service.

    A service has one queue for both of its shortages: upstreams that declare a limit, and
    upstreams that have no room.

    Parameters
    ----------
    serving : callable
        Returns the instances of a service that serve at present.
    may_send : callable
        Whether a gateway may send to an instance, given its backoffs.
    """

    def __init__(
        self,
        limits: LimitRegistry,
        serving: Callable[[str], Sequence[str]],
        may_send: Callable[[Gateway, str], bool],
        clock: Clock,
    ) -> None:
        self._limits = limits
        self._serving = serving
        self._may_send = may_send
        self._clock = clock
        self._began_ms = clock.now_ms()
        self._queues: dict[str, RoomQueue[Gateway]] = {}
        self._rooms: dict[str, ServiceRoom[Gateway]] = {}
        self._room_instances: dict[str, tuple[str, ...]] = {}
        self._returns = ReturnBook()
        self._rejections: Mapping[str, int] = {}

    @property
    def waiting(self) -> int:
        """Number of queued calls over all services."""
        return sum(len(queue) for queue in self._queues.values())

    def enqueue(self, asked: AskTurn, gateway: Gateway) -> None:
        """Queue a call; a later `due` yields its answer."""
        now_ms = self._clock.now_ms()
        usual_ms = long_ms = 0.0
        if self.gives_room(asked.service):
            room = self._room(asked.service)
            slowdown = room.least_slowdown(now_ms)
            usual_ms = slowdown * room.run_time.usual_ms
            long_ms = slowdown * room.run_time.long_ms
        left_ms = min(float(asked.wait_ms), (asked.left_ms or math.inf) - long_ms)
        in_time_ms = (asked.objective_ms or NO_OBJECTIVE_MS) - usual_ms
        returned = self._returns.claim(asked.request, now_ms)
        call = WaitingCall(asked, gateway, now_ms, now_ms + in_time_ms, now_ms + left_ms, returned)
        self._queues.setdefault(asked.service, RoomQueue()).push(call, now_ms)

    def end_turn(self, gateway: Gateway, msg: EndTurn) -> None:
        """Free the place of a call that ended, or drop one that no longer waits."""
        now_ms = self._clock.now_ms()
        if msg.instance:
            for room in self._rooms.values():
                room.end(gateway, msg, now_ms)
            return
        for queue in self._queues.values():
            queue.remove_where(
                lambda one: one.gateway == gateway and one.asked.number == msg.number
            )
        for room in self._rooms.values():
            room.end(gateway, msg, now_ms)

    def set_rejections(self, per_s: Mapping[str, int], services: Iterable[str]) -> None:
        """Set the upstreams that end if they reject more than so many calls within a second.

        Parameters
        ----------
        services : iterable of str
            Their services.
        """
        self._rejections = per_s
        for service in services:
            self._room(service)
        for room in self._rooms.values():
            room.set_rejections(per_s)

    def note_shortage(self, report: ShortageReport) -> None:
        """Record that a gateway found an upstream without room."""
        if self._serving(report.service):
            self._room(report.service).note_shortage(report, self._clock.now_ms())

    def note_running(self, gateway: Gateway, report: RunningCalls) -> None:
        """Record the calls that a gateway has at a service that was short under the last leader."""
        self._room(report.service).note_running(gateway, report, self._clock.now_ms())

    def drop_gateway(self, gateway: Gateway) -> None:
        """Drop the calls of a gateway whose session ended."""
        for queue in self._queues.values():
            queue.remove_where(lambda one: one.gateway == gateway)
        for room in self._rooms.values():
            room.drop_gateway(gateway, self._clock.now_ms())

    def due(self) -> Iterator[AddressedAnswer[Gateway]]:
        """Yield the answers that can be given now, and remove their calls from the queues."""
        for service in list(self._queues):
            yield from self._due_of(service)
        self._forget_absent()
        for service, room in self._rooms.items():
            queue = self._queues.get(service)
            room.note_use(len(queue) if queue is not None else 0, self._clock.now_ms())
        # A queue's order lasts as long as its service is short; without calls it costs nothing.
        for service in [one for one, queue in self._queues.items() if not len(queue)]:
            if not self._is_short(service):
                del self._queues[service]

    def _forget_absent(self) -> None:
        """Drop the room of services that no upstream serves and no gateway holds for short."""
        for service in [one for one in self._rooms if not self._serving(one)]:
            if not self.gives_room(service):
                del self._rooms[service], self._room_instances[service]

    def short_services(self) -> set[str]:
        """Services that are short of room."""
        return {service for service, room in self._rooms.items() if room.shortage.short}

    def places(self, service: str) -> dict[str, int]:
        """Calls that each upstream of a service runs at once."""
        return self._room(service).places(self._clock.now_ms())

    def use(self, service: str) -> tuple[int, int, int]:
        """Calls that wait, places that are held, and places of a service."""
        queue = self._queues.get(service)
        held, places = self._room(service).use(self._clock.now_ms())
        return (len(queue) if queue is not None else 0), held, places

    def _room(self, service: str) -> ServiceRoom[Gateway]:
        if service not in self._rooms:
            self._rooms[service] = ServiceRoom(self._began_ms)
            self._rooms[service].set_rejections(self._rejections)
        instances = tuple(self._serving(service))
        if self._room_instances.get(service) != instances:
            self._room_instances[service] = instances
            self._rooms[service].set_serving(instances)
        return self._rooms[service]

    def _is_short(self, service: str) -> bool:
        room = self._rooms.get(service)
        return room is not None and room.shortage.short

    def gives_room(self, service: str) -> bool:
        """Whether turns for a service hold a place: while it is short, and for a moment after."""
        # Gateways ask for turns until they hear that there is plenty again.
        room = self._rooms.get(service)
        return room is not None and room.shortage.was_short(self._clock.now_ms())

    def _due_of(self, service: str) -> Iterator[AddressedAnswer[Gateway]]:
        queue = self._queues[service]
        if not len(queue):
            return
        now_ms = self._clock.now_ms()
        limits = {
            one: self._limits.ensure(one, counts_sends=False) for one in self._serving(service)
        }
        room = self._room(service) if self.gives_room(service) else None
        turns = TurnRound(limits, room, self._may_send, now_ms)
        while turns.any_free and (taken := queue.take(turns.choose)):
            call, instance = taken
            turns.give(call, instance)
            answer = AnswerTurn(call.asked.number, instance, held=room is not None)
            yield AddressedAnswer(call.gateway, answer)
        reason = LIMITED if room is None else NO_ROOM
        for refused in queue.refused(turns.pace(), now_ms):
            yield AddressedAnswer(refused.call.gateway, self._refusal(service, refused, reason))

    def _refusal(self, service: str, refused: RefusedCall[Gateway], reason: str) -> AnswerTurn:
        asked = refused.call.asked
        if not asked.wait_ms:
            retry_ms = int(min(refused.wait_ms, NO_UPSTREAM_RETRY_MS))
            return AnswerTurn(asked.number, "", retry_ms, reason)
        flow = service, asked.kind, asked.organisation
        retry_ms = self._returns.promise(
            flow, asked.request, refused.excess_ms, refused.per_ms, self._clock.now_ms()
        )
        return AnswerTurn(asked.number, "", retry_ms, reason)
