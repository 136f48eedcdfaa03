"""Parts that keep what streams began on, each by itself."""

from __future__ import annotations

import unittest
from dataclasses import replace

from ..clock import ManualClock
from ..control.commands import COMMAND_CODEC, AddUpstream, ForgetUpstream, UpstreamLeaves
from ..control.control_state import ControlState
from ..control.upstream_record import UpstreamRecord
from ..control.upstream_roster import UpstreamRoster
from ..coordination.messages import FLEET_CODEC, UpstreamsChange
from ..coordination.upstream_views import UpstreamViews
from ..forwarding.known_upstreams import KnownUpstreams
from ..resumption import OriginBook, StreamOrigin
from ..resumption.origin_book import MAX_KEPT_MS

V1 = StreamOrigin("s", "v1")
V2 = StreamOrigin("s", "v2")


def _record(name: str, build: str, started_ms: int = 0, service: str = "s") -> UpstreamRecord:
    instance = f"{name}~{started_ms}" if started_ms else name
    return UpstreamRecord(instance, service, "1:1", "dc", False, name, started_ms, build)


class StreamOriginTest(unittest.TestCase):
    # Guards against builds of the same name in two services, and unnamed ones, that count as one.
    def test_a_build_is_that_of_one_service_and_an_unnamed_one_of_one_incarnation(self) -> None:
        origin = StreamOrigin.of(_record("i1", "v1"))
        self.assertTrue(origin.includes(_record("i2", "v1")))
        self.assertFalse(origin.includes(_record("i2", "v2")))
        self.assertFalse(origin.includes(_record("i2", "v1", service="other")))
        unnamed = StreamOrigin.of(_record("i1", "", 1))
        self.assertTrue(unnamed.is_anonymous)
        self.assertTrue(unnamed.includes(_record("i1", "", 1)))
        self.assertFalse(unnamed.includes(_record("i1", "", 2)))
        self.assertFalse(unnamed.includes(_record("i2", "")))


class OriginBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.book = OriginBook(3, self.clock)

    def test_a_stream_is_known_to_its_owner_until_its_client_gives_up(self) -> None:
        self.book.note("a", "owner", V1, 500)
        self.assertEqual(self.book.find("a", "owner"), V1)
        self.assertIsNone(self.book.find("a", "another"))
        self.assertIsNone(self.book.find("b", "owner"))
        self.clock._now_ms += 500
        self.assertIsNone(self.book.find("a", "owner"))
        self.assertEqual(self.book.current(), {})

    def test_of_an_attempt_that_is_placed_again_the_last_build_counts(self) -> None:
        self.book.note("a", "owner", V1, 500)
        self.book.note("a", "owner", V2, 500)
        self.assertEqual(self.book.find("a", "owner"), V2)

    # Guards against memory that grows with calls without a deadline, or without an end.
    def test_the_oldest_streams_are_forgotten(self) -> None:
        for at in range(5):
            self.book.note(f"a{at}", "owner", V1, 10**9)
        kept = {(attempt, "owner") for attempt in ("a2", "a3", "a4")}
        self.assertEqual(set(self.book.current()), kept)
        self.clock._now_ms += MAX_KEPT_MS
        self.assertEqual(self.book.current(), {})
        self.book.note("new", "owner", V1, 500)
        self.assertEqual(len(self.book), 1)


class MixedServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.roster = UpstreamRoster()

    def test_a_service_with_one_build_is_not_mixed(self) -> None:
        for at in range(3):
            self.roster.add(_record(f"i{at}", "v1"))
            self.roster.add(_record(f"p{at}", "v2", service="other"))
        self.assertEqual(self.roster.mixed_services(), ())

    # Guards against a stream that goes on at the only build that is left, and began on another.
    def test_a_service_is_mixed_until_its_former_build_is_forgotten(self) -> None:
        self.roster.add(_record("i1", "v1"))
        self.roster.add(_record("i2", "v2"))
        self.roster.mark_leaving("i1")
        self.assertEqual(self.roster.mixed_services(), ("s",))
        self.roster.forget("i1")
        self.assertEqual(self.roster.mixed_services(), ())

    # Guards against a build that is forgotten as its engine starts again under its old id.
    def test_a_restart_with_another_build_under_the_same_name_is_remembered(self) -> None:
        self.roster.add(_record("i1", "v1", 1_000))
        self.roster.add(_record("i1", "v2", 2_000))
        self.assertEqual(list(self.roster.records), ["i1~2000"])
        self.assertEqual(self.roster.mixed_services(), ("s",))
        self.assertEqual([one.build for one in self.roster.all_known()], ["v2", "v1"])
        self.roster.forget("i1~1000")
        self.assertEqual(self.roster.mixed_services(), ())

    def test_a_restart_with_the_same_build_is_not(self) -> None:
        self.roster.add(_record("i1", "v1", 1_000))
        self.roster.add(_record("i1", "v1", 2_000))
        self.assertEqual((self.roster.mixed_services(), self.roster.replaced), ((), {}))

    # Guards against a new leader, or a restart of all controllers, that knows one build only.
    def test_former_builds_are_part_of_the_replicated_state(self) -> None:
        state = ControlState()
        for command in (
            AddUpstream(_record("i1", "v1", 1_000)),
            AddUpstream(_record("i1", "v2", 2_000)),
            AddUpstream(_record("i2", "v2")),
            UpstreamLeaves("i2"),
        ):
            state.apply(0, COMMAND_CODEC.encode(command))
        restored = ControlState()
        restored.restore(state.dump())
        self.assertEqual(restored.roster.mixed_services(), ("s",))
        restored.apply(0, COMMAND_CODEC.encode(ForgetUpstream("i1~1000")))
        self.assertEqual(restored.roster.mixed_services(), ())


class MixedNewsTest(unittest.TestCase):
    # Guards against a gateway that is not told of a second build, or of its end.
    def test_gateways_learn_which_services_are_mixed(self) -> None:
        views, known = UpstreamViews(), KnownUpstreams()
        serving = [_record("i1", "v1"), _record("i2", "v2")]
        for mixed in ((), ("s",), ()):
            for change in views.change_to(serving, mixed):
                known.apply(FLEET_CODEC.decode(FLEET_CODEC.encode(change)))
            self.assertEqual(known.mixed, frozenset(mixed))
            late = KnownUpstreams()
            for msg in views.whole():
                late.apply(msg)
            self.assertEqual(late.mixed, frozenset(mixed))

    def test_a_change_of_an_earlier_release_names_none(self) -> None:
        known = KnownUpstreams()
        known.apply(UpstreamsChange((replace(_record("i1", "v1"), build=""),), ()))
        self.assertEqual(known.mixed, frozenset())
