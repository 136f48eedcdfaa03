"""What callers of a plain service that is short of room are served, with many gateways."""

from __future__ import annotations

import unittest
from collections import Counter

from ..concurrency.known_room import KnownRoom
from ..concurrency.upstream_room import margin
from .fakes.room_gateway import RoomGateway
from .fakes.room_load import SERVICE, Load
from .fakes.room_office import RoomOffice
from .fakes.room_upstream import PLACES, ROOM_PER_S, WORK_MS

UPSTREAMS = 2
ROOM = UPSTREAMS * ROOM_PER_S
HELD = UPSTREAMS * (PLACES + margin(PLACES, WORK_MS / 2))
"""Most places that may be given out; a run of half of the usual time needs the largest margin."""
MAX_SHED = 10
"""Calls that upstreams may refuse, sent before the shortage was known."""
LOOKUPS = Load("lookup", 0.35 * ROOM, idempotent=True)
SENDS = Load("send", 1.15 * ROOM)


class _OwnSightOffice(RoomOffice):
    """Gateways that decide by their own sight, as before the leader gave out room."""

    def known_room(self, gateway: RoomGateway) -> KnownRoom:
        return KnownRoom(lambda report: None, gateway.leaderless, self.clock)


class PlainRoomTest(unittest.TestCase):
    def _office(self, gateways: int = 62) -> RoomOffice:
        return RoomOffice(gateways, UPSTREAMS)

    def _check_room(self, office: RoomOffice) -> None:
        self.assertLessEqual(office.most_held, HELD)
        shed = sum(one.shed for one in office.upstreams.values())
        self.assertLessEqual(shed, MAX_SHED)

    # Guards against calls that queue at upstreams in order of arrival, so that all kinds are late.
    def test_two_kinds_at_one_and_a_half_times_the_room(self) -> None:
        before = _OwnSightOffice(62, UPSTREAMS)
        before.play(2_500, [LOOKUPS, SENDS])
        before.drain()
        self.assertLess(before.share("lookup"), 0.7)
        self.assertGreater(sum(one.shed for one in before.upstreams.values()), 100)
        office = self._office()
        office.play(2_500, [LOOKUPS, SENDS])
        office.drain()
        self._check_room(office)
        self.assertGreaterEqual(office.share("lookup"), 0.97)
        self.assertGreaterEqual(office.per_s("send", 2_500), 0.9 * (ROOM - LOOKUPS.per_s))
        self.assertLessEqual(office.share("send", "failed"), 0.02)

    # Guards against a few lookups that wait behind many sends.
    def test_lookups_beside_many_unsafe_calls(self) -> None:
        office = self._office()
        office.play(1_500, [Load("lookup", 0.1 * ROOM, idempotent=True), Load("send", 3.0 * ROOM)])
        office.drain()
        self._check_room(office)
        self.assertGreaterEqual(office.share("lookup"), 0.97)

    # Guards against one organisation whose flood makes the calls of all others late.
    def test_an_organisation_at_nine_times_its_usual_slows_itself(self) -> None:
        usual = [Load("send", 0.1 * ROOM, f"o{at}") for at in range(6)]
        loads = [*usual, Load("send", 0.9 * ROOM, "hot")]
        before = _OwnSightOffice(62, UPSTREAMS)
        before.play(2_500, loads)
        before.drain()
        office = self._office()
        office.play(2_500, loads)
        office.drain()
        self._check_room(office)
        for load in usual:
            with self.subTest(load.organisation):
                self.assertLess(before.share("send", "in_time", load.organisation), 0.9)
                self.assertGreaterEqual(office.share("send", "in_time", load.organisation), 0.95)
        # It gets what the others leave.
        self.assertGreaterEqual(office.per_s("send", 2_500, "hot"), 0.85 * 0.4 * ROOM)

    # Guards against urgent calls that starve all others.
    def test_each_kind_keeps_a_floor_beside_more_urgent_ones(self) -> None:
        office = self._office()
        urgent, later = Load("urgent", 1.3 * ROOM, rank=0), Load("later", 0.4 * ROOM, rank=2)
        office.play(2_000, [urgent, later])
        office.drain()
        self.assertGreaterEqual(office.per_s("later", 2_000), 0.09 * ROOM)
        self.assertGreaterEqual(office.per_s("urgent", 2_000), 0.8 * ROOM)

    # Guards against calls sent to an upstream whose host is busy with other work at that moment.
    def test_upstreams_that_slow_down_in_turn(self) -> None:
        in_time = []
        for kind in (_OwnSightOffice, RoomOffice):
            office = kind(62, 4)
            loads = [Load("send", 0.7 * 4 * ROOM_PER_S)]
            office.begin_calls(3_000, loads)
            for at in range(6):
                slow = office.upstreams[f"u{at % 4}"]
                slow.slowdown = 2.5
                office.clock.advance(500)
                slow.slowdown = 1.0
            office.drain()
            in_time.append(office.share("send"))
        self.assertLess(in_time[0], 0.93)
        self.assertGreaterEqual(in_time[1], 0.96)

    # Guards against a service that refuses nearly all since its upstreams tell of a slowdown.
    def test_upstreams_that_are_all_slow(self) -> None:
        office = self._office(9)
        for one in office.upstreams.values():
            one.work_ms, one.slowdown = WORK_MS / 6, 6.0
        office.play(2_000, [LOOKUPS, SENDS])
        office.drain()
        self.assertGreaterEqual(office.share("lookup"), 0.95)
        self.assertGreaterEqual(office.per_s("send", 2_000), 0.85 * (ROOM - LOOKUPS.per_s))

    # Guards against an upstream that fails calls at once, and so has room for more than others.
    def test_an_upstream_that_fails_calls_gets_no_unsafe_ones(self) -> None:
        office = RoomOffice(62, 4)
        grey = office.upstreams["u0"]
        grey.fail_fraction = 0.5
        office.begin_calls(1_800, [Load("lookup", 120, idempotent=True), Load("send", 400)])
        office.clock.advance(600)  # shortage and failures are known by then
        office.results.clear()
        before = grey.arrivals
        office.drain()
        self.assertLessEqual(grey.arrivals - before, 180)  # 100 a second is its part of the room
        self.assertLessEqual(office.share("send", "failed"), 0.01)

    # Guards against refused callers that come back together, or behind those that came later.
    def test_who_comes_back_when_told_is_served(self) -> None:
        office = self._office()
        office.play(2_500, [LOOKUPS, SENDS])
        office.drain()
        first, again = office.refusals["send", False], office.refusals["send", True]
        self.assertGreater(first, 100)
        self.assertLessEqual(again, 0.1 * first)

    # Guards against a leader that is asked about each call although there is room.
    def test_a_quiet_service_asks_nothing(self) -> None:
        for gateways in (1, 9, 62, 410):
            with self.subTest(gateways):
                office = self._office(gateways)
                office.play(1_000, [Load("lookup", 0.3 * ROOM, idempotent=True)])
                office.drain()
                self.assertLessEqual(office.messages.total(), 3)
                self.assertGreaterEqual(office.share("lookup"), 0.99)

    # Guards against places that idle for a round trip to the leader after each call.
    def test_short_calls_leave_no_place_idle(self) -> None:
        office = RoomOffice(9, 1)
        office.upstreams["u0"].work_ms = WORK_MS / 4
        office.begin_calls(1_300, [Load("send", 6 * ROOM_PER_S)])
        office.clock.advance(500)
        before = office.upstreams["u0"].arrivals
        office.clock.advance(800)
        sent = office.upstreams["u0"].arrivals - before
        self.assertGreaterEqual(sent, 0.9 * 0.8 * 4 * ROOM_PER_S)

    # Guards against room that depends on the number of gateways, and messages that grow with it.
    def test_any_number_of_gateways(self) -> None:
        for gateways in (1, 9, 410):
            with self.subTest(gateways):
                office = self._office(gateways)
                office.play(1_200, [LOOKUPS, SENDS])
                office.drain()
                self.assertLessEqual(office.most_held, HELD)
                self.assertGreaterEqual(office.share("lookup"), 0.95)
                calls = sum(office.results.values()) + office.refusals["send", False]
                self.assertLessEqual(office.messages["AskTurn"], calls)
                self.assertLessEqual(office.messages["ShortageReport"], 30)
                self.assertLessEqual(office.messages["RoomInForce"], 3 * gateways)

    # Guards against a service that stays with the leader after its shortage.
    def test_a_shortage_ends(self) -> None:
        office = self._office(9)
        office.play(800, [LOOKUPS, SENDS])
        office.play(4_000, [Load("lookup", 0.2 * ROOM, idempotent=True)])
        office.messages.clear()
        office.play(500, [Load("lookup", 0.2 * ROOM, idempotent=True)])
        self.assertEqual(office.messages["AskTurn"], 0)


class PlainRoomFailureTest(unittest.TestCase):
    """Failures of gateways, the leader, links and upstreams while credits are out."""

    def _short_office(self, gateways: int, ms: int) -> RoomOffice:
        """A deployment at one and a half times its room for `ms` more than half a second."""
        office = RoomOffice(gateways, UPSTREAMS)
        office.begin_calls(600 + ms, [LOOKUPS, SENDS])
        office.clock.advance(600)
        office.most_there = office.most_held = 0
        return office

    # Guards against a new leader that gives out places where calls of the last one still run.
    def test_a_leader_that_ends_while_credits_are_out(self) -> None:
        office = self._short_office(62, 2_400)
        for _ in range(3):
            office.begin_leader()
            office.clock.advance(400)
            office.lose_leader()
            office.clock.advance(200)
            office.begin_leader()
            office.clock.advance(200)
        self.assertLessEqual(office.most_there, HELD)
        self.assertLessEqual(office.most_held, HELD)

    # Guards against gateways without a leader that together send more than there is room.
    def test_shares_without_a_leader_are_never_more_than_the_whole(self) -> None:
        for gateways in (1, 9, 62, 410):
            with self.subTest(gateways):
                office = self._short_office(gateways, 1_400)
                office.lose_leader()
                office.clock.advance(300)
                office.most_there = 0
                before = sum(one.arrivals for one in office.upstreams.values())
                office.clock.advance(1_000)
                sent = sum(one.arrivals for one in office.upstreams.values()) - before
                self.assertLessEqual(office.most_there, UPSTREAMS * PLACES)
                self.assertGreaterEqual(sent, 0.2 * ROOM)

    # Guards against places that a killed gateway holds for ever.
    def test_a_gateway_killed_with_credits(self) -> None:
        office = self._short_office(9, 2_000)
        for at in range(4, 9):
            office.kill(f"g{at}")
        office.clock.advance(600)
        before = sum(one.arrivals for one in office.upstreams.values())
        office.clock.advance(1_000)
        sent = sum(one.arrivals for one in office.upstreams.values()) - before
        self.assertLessEqual(office.most_held, HELD)
        self.assertGreaterEqual(sent, 0.85 * ROOM)

    # Guards against places that are lost since the ends of calls don't reach the leader, and
    # against callers of that gateway that wait for answers that never come.
    def test_a_gateway_whose_messages_do_not_reach_the_leader(self) -> None:
        office = self._short_office(9, 3_000)
        office.deaf = {"g0"}
        office.clock.advance(1_500)
        before = sum(one.arrivals for one in office.upstreams.values())
        office.at_gateway.clear()
        office.clock.advance(1_500)
        sent = sum(one.arrivals for one in office.upstreams.values()) - before
        self.assertGreaterEqual(sent, 0.85 * 1.5 * ROOM)
        self.assertLessEqual(office.most_held, HELD)
        counts = office.at_gateway
        others: Counter[str] = Counter()
        for (kind, gateway, result), count in counts.items():
            if kind == "lookup" and gateway != "g0":
                others[result] += count
        self.assertGreaterEqual(others["in_time"], 0.95 * others.total())
        self.assertGreater(counts["send", "g0", "in_time"] + counts["send", "g0", "late"], 0)

    # Guards against turns that are lost on their way to a gateway and hold their places.
    def test_a_gateway_that_the_leader_does_not_reach(self) -> None:
        office = self._short_office(9, 3_000)
        office.mute = {"g0"}
        office.clock.advance(1_500)
        before = sum(one.arrivals for one in office.upstreams.values())
        office.clock.advance(1_500)
        sent = sum(one.arrivals for one in office.upstreams.values()) - before
        self.assertGreaterEqual(sent, 0.8 * 1.5 * ROOM)
        self.assertLessEqual(office.most_held, HELD)

    # Guards against an upstream whose report stops its service, or floods it.
    def test_an_upstream_that_tells_nonsense(self) -> None:
        for told in (0, 999_999_999):
            with self.subTest(told):
                office = RoomOffice(9, UPSTREAMS)
                office.upstreams["u0"].told_places = told
                office.play(1_500, [LOOKUPS, SENDS])
                office.drain()
                self.assertLessEqual(office.most_held, HELD)
                self.assertLessEqual(office.upstreams["u0"].shed, 30)
                self.assertGreaterEqual(office.upstreams["u0"].arrivals, 0.4 * ROOM * 1.5)
                self.assertGreaterEqual(office.share("lookup"), 0.95)

    # Guards against a part of the new path that upstreams without a load header take.
    def test_upstreams_that_report_no_load_are_served_as_before(self) -> None:
        office = RoomOffice(9, UPSTREAMS)
        for one in office.upstreams.values():
            one.reports_load = False
        office.play(800, [LOOKUPS, SENDS])
        office.drain()
        self.assertEqual(office.messages.total(), 0)
        self.assertEqual(office.gateways["g0"].room.is_short(SERVICE), False)
