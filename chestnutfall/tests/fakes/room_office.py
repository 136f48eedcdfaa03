"""A simulated deployment of gateways, a leader and one plain service that is short of room."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from ...concurrency.known_room import KnownRoom
from ...control.upstream_record import UpstreamRecord
from ...forwarding.call import Call
from ...forwarding.place import NoPlace, Place, SelectionCriteria
from ...placement import RunOutcome
from ...placement.run_times import NO_TIMES
from ...routes import ServiceSpec
from .room_clock import Reply, RoomClock
from .room_gateway import RoomGateway
from .room_leader import RoomLeader
from .room_load import DEADLINE_MS, HOP_MS, OBJECTIVE_MS, SERVICE, TICK_MS, TIMEOUT_MS, Load
from .room_upstream import DONE, FULL, PLACES, Answer, RoomUpstream

_OUTCOMES = {DONE: RunOutcome.DONE, FULL: RunOutcome.FULL}


class RoomOffice:
    """Gateways, a replaceable leader, upstreams, and callers that come back when refused.

    Attributes
    ----------
    results : Counter of (str, str, str)
        Callers by kind, organisation and result: in_time, late, refused, failed.
    refusals : Counter of (str, bool)
        Refusals by kind and whether the caller had been refused before.
    at_gateway : Counter of (str, str, str)
        Callers by kind, gateway that they asked first, and result.
    messages : Counter of str
        Messages between gateways and the leader by type.
    most_held : int
        Most places that the leader had given out at once.
    most_there : int
        Most calls at all upstreams at once.
    deaf, mute : set of str
        Gateways whose messages don't reach the leader, and that the leader's don't reach.
    """

    def __init__(self, gateways: int, upstreams: int = 4, seed: int = 1, callers: int = 1) -> None:
        self.clock = RoomClock()
        self.rng = random.Random(seed)
        self.upstreams = {
            f"u{at}": RoomUpstream(
                UpstreamRecord(f"u{at}", SERVICE, f"1:{at}", "dc"), self.clock, self.rng
            )
            for at in range(upstreams)
        }
        self.results: Counter[tuple[str, str, str]] = Counter()
        self.refusals: Counter[tuple[str, bool]] = Counter()
        self.at_gateway: Counter[tuple[str, str, str]] = Counter()
        self.messages: Counter[str] = Counter()
        self.deaf: set[str] = set()
        self.mute: set[str] = set()
        self.most_held = self.most_there = 0
        self.waits_ms: dict[str, list[int]] = {}
        self.gateways: dict[str, RoomGateway] = {}
        for at in range(gateways):
            self.gateways[f"g{at}"] = RoomGateway(f"g{at}", self)
        self.leader: RoomLeader | None = None
        self._ids = itertools.count()
        self._retries = callers
        self.begin_leader()
        self._tick()

    def known_room(self, gateway: RoomGateway) -> KnownRoom:
        """The room of a gateway; subclasses decide in other ways."""
        return KnownRoom(gateway.send, gateway.leaderless, self.clock)

    @property
    def places(self) -> int:
        """Requests that all upstreams run at once."""
        return PLACES * len(self.upstreams)

    @property
    def there(self) -> int:
        """Requests at all upstreams."""
        return sum(one.running + len(one.queue) for one in self.upstreams.values())

    # Leader

    def begin_leader(self) -> None:
        """Replace the leader by one without state."""
        self.lose_leader()
        self.leader = RoomLeader(self)
        for gateway in self.gateways.values():
            gateway.join(self.leader)

    def lose_leader(self) -> None:
        """Remove the leader."""
        self.leader = None
        for gateway in self.gateways.values():
            gateway.lose()

    def kill(self, name: str) -> None:
        """End a gateway; its calls go on at their upstreams and nobody takes their answers."""
        self.gateways.pop(name).lose()
        if self.leader is not None:
            self.leader.remove(name)

    def to_leader(self, name: str, msg: Any) -> None:
        self.messages[type(msg).__name__] += 1
        leader = self.leader
        if name not in self.deaf and leader is not None:
            self.clock.at(HOP_MS, lambda: self._deliver(leader, name, msg))

    def _deliver(self, leader: RoomLeader, name: str, msg: Any) -> None:
        if self.leader is leader:
            leader.handle(name, msg)

    def to_gateway(self, name: str, msg: Any) -> None:
        self.messages[type(msg).__name__] += 1
        gateway = self.gateways.get(name)
        if gateway is not None and name not in self.mute:
            self.clock.at(HOP_MS, lambda: gateway.handle(msg))

    def _tick(self) -> None:
        if self.leader is not None:
            self.leader.decide()
            self.most_held = max(self.most_held, self.leader.held)
        self.most_there = max(self.most_there, self.there)
        self.clock.at(TICK_MS, self._tick)

    # Callers

    def play(self, ms: int, loads: Iterable[Load]) -> None:
        """Let calls come at random for `ms`."""
        self.begin_calls(ms, loads)
        self.clock.advance(ms)

    def begin_calls(self, ms: int, loads: Iterable[Load]) -> None:
        """Let calls come at random while the clock advances by `ms`."""
        end_ms = self.clock.now_ms() + ms
        for load in loads:
            self._next_call(load, end_ms)

    def drain(self) -> None:
        """Let all calls end."""
        self.clock.advance(DEADLINE_MS + 500)

    def _next_call(self, load: Load, end_ms: int) -> None:
        in_ms = self.rng.expovariate(load.per_s / 1000)
        if self.clock.now_ms() + in_ms < end_ms:
            self.clock.at(in_ms, lambda: self._call(load, end_ms))

    def _call(self, load: Load, end_ms: int) -> None:
        self._next_call(load, end_ms)
        self.clock.start(self._caller(load))

    async def _caller(self, load: Load) -> None:
        began_ms, request = self.clock.now_ms(), f"{next(self._ids)}"
        result, retry_ms, first = "refused", 0, ""
        for attempt in range(1 + self._retries):
            gateway = self.rng.choice(list(self.gateways.values()))
            first = first or gateway.name
            left_ms = began_ms + DEADLINE_MS - self.clock.now_ms()
            result, retry_ms = await self._serve(load, gateway, request, left_ms)
            self.refusals[load.kind, attempt > 0] += result == "refused"
            left_ms = began_ms + DEADLINE_MS - self.clock.now_ms()
            if result != "refused" or attempt == self._retries or retry_ms > left_ms:
                break
            await self.clock.sleep_ms(retry_ms + self.rng.uniform(2, 6))
        if result == "done":
            took_ms = self.clock.now_ms() - began_ms
            result = "in_time" if took_ms <= OBJECTIVE_MS else "late"
        self.results[load.kind, load.organisation, result] += 1
        self.at_gateway[load.kind, first, result] += 1

    async def _serve(
        self, load: Load, gateway: RoomGateway, request: str, left_ms: int
    ) -> tuple[str, int]:
        now_ms = self.clock.now_ms()
        until_ms = now_ms + min(TIMEOUT_MS, left_ms)
        call = Call("id", "GET", "/", "/", "h", (), b"", now_ms, until_ms)
        wanted = SelectionCriteria(call, load.route(), ServiceSpec(SERVICE, None), (), until_ms)
        wanted = replace(wanted, organisation=load.organisation, request=request)
        for send in range(2):
            try:
                place = await gateway.selector.select(wanted)
            except NoPlace as exc:
                return "refused", exc.retry_after_ms
            self.waits_ms.setdefault(load.kind, []).append(self.clock.now_ms() - now_ms)
            result = await self._send(place, gateway, until_ms)
            may_repeat = load.idempotent or result == FULL
            if result == DONE:
                return "done", 0
            if send or not may_repeat or self.clock.now_ms() >= until_ms:
                return ("refused", 500) if result == FULL else ("failed", 0)
            wanted = replace(wanted, avoid=(place.upstream.instance,))
        return "failed", 0

    async def _send(self, place: Place, gateway: RoomGateway, until_ms: int) -> str:
        reply = Reply(self.clock)
        upstream = self.upstreams[place.upstream.instance]
        deliver = lambda answer: self.clock.at(HOP_MS, lambda: reply.set(answer))  # noqa: E731
        self.clock.at(HOP_MS, lambda: upstream.receive(deliver))
        self.clock.at(until_ms - self.clock.now_ms(), lambda: reply.set(("lost", None)))
        answer: Answer = await reply
        result, load = answer
        if self.gateways.get(gateway.name) is gateway:
            outcome = _OUTCOMES.get(result, RunOutcome.BROKEN)
            outcome = RunOutcome.LEFT if result == "lost" else outcome
            gateway.selector.release(place, outcome, NO_TIMES, load)
        return result

    # Results

    def share(self, kind: str, result: str = "in_time", organisation: str = "") -> float:
        """Fraction of the callers of a kind with a result."""
        of = [
            (key, count)
            for key, count in self.results.items()
            if key[0] == kind and organisation in ("", key[1])
        ]
        whole = sum(count for _, count in of)
        return sum(count for key, count in of if key[2] == result) / max(whole, 1)

    def per_s(self, kind: str, ms: int, organisation: str = "") -> float:
        """Callers of a kind that were served, per second of `ms`."""
        served = sum(
            count
            for key, count in self.results.items()
            if key[0] == kind and organisation in ("", key[1]) and key[2] in ("in_time", "late")
        )
        return served * 1000 / ms
