"""Compares ways in which gateways can share the room of a plain service.

Four upstreams of six places each run calls of 60 ms on average. Lookups, which may run twice, and
sends, which may not, come at random through all gateways. Refused callers come back once, when
they were told to. Time is simulated. The ways:

- sight: each gateway sends to what looks least busy by its own sight;
- shares: each gateway has an equal share of the places, by chance where it is below one;
- itself: each gateway limits itself, by what the answers that it gets say of waiting calls;
- credits: gateways ask the leader for a place while the service is short;
- equals: the same, but callers that come back when told are queued like new ones;
- divided: the same as credits, but the places of an upstream are divided by its slowdown, as far as
  that is above the least of the service.

Columns: load as a part of the room; gateways; way; parts of the lookups and of the sends that were
in time; sends that were late, refused, and failed; refused callers that were refused again; part of
the room that was used; calls turned away by upstreams; messages per second at the leader.
"""

from __future__ import annotations

import argparse
import math
import random
import time

from chestnutfall.concurrency.known_room import KnownRoom
from chestnutfall.concurrency.leaderless_room import LeaderlessRoom
from chestnutfall.concurrency.messages import RoomInForce, ServiceRoomState
from chestnutfall.concurrency.return_book import ReturnBook
from chestnutfall.concurrency.service_room import ServiceRoom
from chestnutfall.concurrency.shortage_detector import shows_shortage
from chestnutfall.placement import RunOutcome
from chestnutfall.signals.upstream_load import UpstreamLoad
from chestnutfall.tests.fakes.room_gateway import RoomGateway
from chestnutfall.tests.fakes.room_load import SERVICE, Load
from chestnutfall.tests.fakes.room_office import RoomOffice
from chestnutfall.tests.fakes.room_upstream import PLACES, ROOM_PER_S

UPSTREAMS = 4
LOOKUP_PART = 0.19
"""Lookups as a part of all calls."""
DECREASE, INCREASE = 0.7, 0.1
"""How a gateway that limits itself changes its limit: by this factor, and by this many calls."""


class _SightOffice(RoomOffice):
    def known_room(self, gateway: RoomGateway) -> KnownRoom:
        return KnownRoom(lambda report: None, gateway.leaderless, self.clock)


class _EqualShares(KnownRoom):
    """A gateway that may always use its share of the whole room."""

    def __init__(self, office: RoomOffice) -> None:
        leaderless = LeaderlessRoom(lambda: 1, office.clock, random.Random(1))
        super().__init__(lambda report: None, leaderless, office.clock)
        self._office = office
        self._until_ms = 0
        self._drawn = 0
        places = dict.fromkeys(office.upstreams, PLACES)
        self.apply(RoomInForce((ServiceRoomState(SERVICE, True, places),)))

    def asks_leader(self) -> bool:
        return False

    def may_send_without_leader(self, service: str) -> bool:
        now_ms = self._office.clock.now_ms()
        if now_ms >= self._until_ms:
            share = self.share()
            self._drawn = int(share) + (self._office.rng.random() < share - int(share))
            self._until_ms = now_ms + int(self.run_ms(service))
        return sum(self._running.get(service, {}).values()) < self._drawn

    def share(self) -> float:
        return PLACES * UPSTREAMS / max(len(self._office.gateways), 1)


class _OwnLimit(_EqualShares):
    """A gateway that raises and lowers its limit by the answers that it gets."""

    def __init__(self, office: RoomOffice) -> None:
        super().__init__(office)
        self._limit = 1.0

    def share(self) -> float:
        return self._limit

    def ended(
        self,
        service: str,
        instance: str,
        outcome: RunOutcome,
        load: UpstreamLoad | None,
        run_ms: float,
    ) -> None:
        super().ended(service, instance, outcome, load, run_ms)
        if outcome is RunOutcome.FULL or (load is not None and shows_shortage(load)):
            self._limit = max(self._limit * DECREASE, 0.05)
        else:
            self._limit = min(self._limit + INCREASE, 64.0)


class _SharesOffice(RoomOffice):
    def known_room(self, gateway: RoomGateway) -> KnownRoom:
        return _EqualShares(self)


class _ItselfOffice(RoomOffice):
    def known_room(self, gateway: RoomGateway) -> KnownRoom:
        return _OwnLimit(self)


class _EqualsOffice(RoomOffice):
    """Callers that come back are queued like new ones."""

    def begin_leader(self) -> None:
        super().begin_leader()
        assert self.leader is not None
        self.leader.queues._returns = _NoReturns()


class _NoReturns(ReturnBook):
    def claim(self, request: str, now_ms: int) -> bool:
        return False


class _DividedRoom(ServiceRoom):  # type: ignore[type-arg]
    """Room that is divided by each upstream's slowdown."""

    def _all_places(self, now_ms: int) -> dict[str, int]:
        least = self.least_slowdown(now_ms)
        return {
            name: math.ceil(places * least / self._rooms[name].slowdown(now_ms))
            for name, places in super()._all_places(now_ms).items()
        }


class _DividedOffice(RoomOffice):
    def begin_leader(self) -> None:
        super().begin_leader()
        assert self.leader is not None
        queues = self.leader.queues
        queues._rooms[SERVICE] = _DividedRoom(self.clock.now_ms())


WAYS: dict[str, type[RoomOffice]] = {
    "sight": _SightOffice,
    "shares": _SharesOffice,
    "itself": _ItselfOffice,
    "credits": RoomOffice,
    "equals": _EqualsOffice,
    "divided": _DividedOffice,
}


def simulate(way: str, gateways: int, load: float, seconds: int, slow: bool) -> str:
    """Simulate one way and return a row of the table."""
    office = WAYS[way](gateways, UPSTREAMS)
    per_s = load * UPSTREAMS * ROOM_PER_S
    lookups = Load("lookup", LOOKUP_PART * per_s, idempotent=True)
    office.begin_calls(seconds * 1000, [lookups, Load("send", (1 - LOOKUP_PART) * per_s)])
    for at in range(2 * seconds):
        slowed = office.upstreams[f"u{at % UPSTREAMS}"]
        slowed.slowdown = 2.5 if slow else 1.0
        office.clock.advance(500)
        slowed.slowdown = 1.0
    arrivals = sum(one.arrivals - one.shed for one in office.upstreams.values())
    shed = sum(one.shed for one in office.upstreams.values())
    messages = office.messages.total() - office.messages["RoomInForce"]
    office.drain()
    again = sum(count for (_, again), count in office.refusals.items() if again)
    first = sum(count for (_, again), count in office.refusals.items() if not again)
    sends = [office.share("send", one) for one in ("in_time", "late", "refused", "failed")]
    return (
        f"{load:4.1f} {gateways:8d} {way:>8} {office.share('lookup'):7.3f} "
        + " ".join(f"{one:7.3f}" for one in sends)
        + f" {again / max(first, 1):6.3f} {arrivals / (UPSTREAMS * ROOM_PER_S * seconds):6.3f}"
        + f" {shed:6d} {messages / seconds:8.0f}"
    )


def main() -> None:
    """Print a row for each load, number of gateways and way."""
    cli = argparse.ArgumentParser(prog="room", description=__doc__)
    cli.add_argument("--seconds", type=int, default=5)
    cli.add_argument("--loads", type=float, nargs="+", default=[0.5, 0.9, 1.5, 3.0])
    cli.add_argument("--gateways", type=int, nargs="+", default=[9, 80, 410])
    cli.add_argument("--ways", nargs="+", default=list(WAYS))
    cli.add_argument("--slow", action="store_true", help="upstreams take 2.5 times as long in turn")
    args = cli.parse_args()
    print(
        "load gateways      way lookups in time   late refused  failed  again   used   shed  msg/s"
    )
    began = time.process_time()
    for load in args.loads:
        for gateways in args.gateways:
            for way in args.ways:
                print(simulate(way, gateways, load, args.seconds, args.slow), flush=True)
    print(f"{time.process_time() - began:.0f} s of processor time")


if __name__ == "__main__":
    main()
