"""A gateway and a leading controller on the real replicated log, without a network.

The leader commits departures and documents before it acknowledges them, and a leader that is cut
off acknowledges nothing. Otherwise a request is sent to an engine that has announced that it
leaves, or an auditor reads a configuration that is older than an acknowledged one.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any

from ..consensus import Tolerance
from ..control.control_state import ControlState
from ..control.crash_messages import BrokenRun
from ..control.upstream_record import UpstreamRecord, incarnation_key
from ..coordination.document_compression import compress_document, decompress_document
from ..coordination.fleet_leader import FleetLeader
from ..coordination.gateway_session import GatewaySession
from ..coordination.group_manager import GroupManager
from ..coordination.leader_relay import LeaderRelay
from ..coordination.messages import (
    AnswerRepeat,
    AskRepeat,
    PutInForce,
    Release,
    UpstreamsChange,
    UpstreamsPart,
)
from ..coordination.relay_messages import (
    Accepted,
    Announce,
    Depart,
    HeldDocument,
    ReadDocument,
    Rejected,
    StoreDocument,
    StoreVersion,
    Unavailable,
)
from ..coordination.upstream_tracker import MIN_UPDATE_INTERVAL_MS
from ..forwarding.known_upstreams import KnownUpstreams
from ..placement import AdapterName, EngineReport, Grant, LoadAdapter, PlaceRequest
from ..placement.engine_kind import EngineKind
from ..placement.reported_slowdown import FRESH_MS
from ..placement.run_times import RunTimes
from ..platform.document_json import DocumentJson
from ..settings.host_place import UNKNOWN_PLACE
from ..settings.quota_bounds import STRICT_QUOTA_BOUNDS
from ..settings.repeat_bounds import RepeatBounds
from ..signals.engine_loads import EngineLoads
from .fakes import FakeCluster
from .fakes.accepting_engines import AcceptingEngines
from .fakes.accounts import usual_memory

REPEATS = RepeatBounds(0.2, 20, 1_000)
ENGINE = {
    "slots": 4,
    "kv_capacity": 100_000,
    "weights_mb": 60,
    "adapter_slots": 3,
    "loads_per_s": 5,
    "models": [{"name": "base", "weights_mb": 50, "load_s": 1}],
}


def _document(version: int, note: str = "") -> bytes:
    service = {"name": "drafts", "max_conns": 9, "engine": ENGINE}
    route = {"name": f"r{note}", "host": "a.example", "path_prefix": "/a/", "kind": "stream"}
    route |= {"timeout_ms": 4000, "service": "drafts"}
    document = {"version": version, "routes": [route], "services": [service]}
    return json.dumps(document).encode()


class FleetLeaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = FakeCluster(5, ("a", "b", "c"), ControlState)
        await self.cluster.bootstrap()
        self.engines = AcceptingEngines()
        self.leaders: dict[str, FleetLeader] = {}
        self.relays: dict[str, LeaderRelay] = {}
        self.tasks: list[asyncio.Task[None]] = []
        for name, replica in self.cluster.replicas.items():
            state = replica.machine
            assert isinstance(state, ControlState)
            clock = self.cluster.clock
            leader = FleetLeader(
                replica,
                state,
                DocumentJson(),
                self.engines,
                clock,
                1000,
                REPEATS,
                STRICT_QUOTA_BOUNDS,
                usual_memory(),
            )
            group = GroupManager(replica, state, clock, Tolerance(1), UNKNOWN_PLACE)
            self.leaders[name] = leader
            self.relays[name] = LeaderRelay(replica, state, leader, group, clock)
            self.tasks += [asyncio.ensure_future(one.run()) for one in (leader, group)]
        self.name = (await self.cluster.leader()).replica_id
        await self.cluster.clock.advance(500)

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await self.cluster.stop()

    async def _ask(self, msg: Any, name: str = "") -> Any:
        asked = asyncio.ensure_future(self.relays[name or self.name].answer(msg))
        for _ in range(40):
            await self.cluster.clock.advance(25)
            if asked.done():
                return asked.result()
        asked.cancel()
        return None

    async def _announce(
        self,
        name: str,
        number: int,
        leaving: bool = False,
        started_ms: int = 0,
        service: str = "drafts",
    ) -> Any:
        instance = incarnation_key(name, started_ms)
        address = f"127.0.0.1:{name}"
        record = UpstreamRecord(instance, service, address, "dc", leaving, name, started_ms)
        holds = EngineReport({"base": 1}, {}, {}, 0)
        return await self._ask(Announce(record, number, holds))

    def _join(self, version: int = -1) -> GatewaySession:
        session = GatewaySession("g1")
        term = self.leaders[self.name].leading()
        assert term is not None
        term.add_gateway(session, version)
        return session

    @staticmethod
    def _messages(session: GatewaySession, kind: type) -> list[Any]:
        found = []
        while not session.out.empty():
            found.append(session.out.get_nowait())
        return [msg for msg in found if isinstance(msg, kind)]

    @staticmethod
    def _known_upstreams(session: GatewaySession, before: set[str] | None = None) -> set[str]:
        """Return the upstreams that a gateway knows after all messages in its queue."""
        known = KnownUpstreams()
        instances = {one: UpstreamRecord(one, "", "", "") for one in before or ()}
        known.apply(UpstreamsChange(tuple(instances.values()), ()))
        while not session.out.empty():
            msg = session.out.get_nowait()
            if isinstance(msg, UpstreamsPart | UpstreamsChange):
                known.apply(msg)
        return known.instances()

    async def test_an_engine_that_ended_gets_no_work_until_its_next_heartbeat(self) -> None:
        # Answers of the engine broke off and its port is closed. Requests for its adapters must not
        # be sent there for the seconds in which its last heartbeat is still valid.
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        for name in ("e1", "e2"):
            await self._announce(name, 1)
        session = self._join()
        term = self.leaders[self.name].leading()
        assert term is not None
        known = self._known_upstreams(session)
        for refuses, serving in ((False, {"e1", "e2"}), (True, {"e2"})):
            with self.subTest(refuses):
                term.handle(session, BrokenRun("r", "e1", "127.0.0.1:e1", refuses, 90, 5))
                await self.cluster.clock.advance(25)
                await self.cluster.clock.advance(25)
                known = self._known_upstreams(session, known)
                self.assertEqual(known, serving)
        await self._announce("e1", 2)
        self.assertEqual(self._known_upstreams(session, known), {"e1", "e2"})

    async def test_documents_are_acknowledged_once_committed_and_pushed(self) -> None:
        session = self._join()
        content = compress_document(_document(3))
        self.assertEqual(await self._ask(StoreDocument(3, content)), Accepted())
        self.assertEqual(self._messages(session, PutInForce), [PutInForce(3, content)])
        self.assertEqual(await self._ask(StoreDocument(3, content)), Accepted())
        self.assertEqual(
            await self._ask(StoreDocument(2, compress_document(_document(2)))), Accepted()
        )
        other = await self._ask(StoreDocument(3, compress_document(_document(3, "other"))))
        self.assertIsInstance(other, Rejected)
        held = await self._ask(ReadDocument())
        self.assertIsInstance(held, HeldDocument)
        self.assertEqual(decompress_document(held.content), _document(3))

    async def test_of_many_documents_gateways_get_the_newest(self) -> None:
        # Operators store sixteen versions per second. If each were sent, they would queue up on the
        # links of ninety gateways, which would apply old ones for seconds.
        session = self._join()
        for version in range(1, 13):
            asked = asyncio.ensure_future(
                self.relays[self.name].answer(
                    StoreDocument(version, compress_document(_document(version)))
                )
            )
            await self.cluster.clock.advance(50)
            self.assertEqual(await asked, Accepted())
        await self.cluster.clock.advance(400)
        versions = [msg.version for msg in self._messages(session, PutInForce)]
        self.assertEqual((versions[-1], versions), (12, sorted(versions)))
        self.assertLess(len(versions), 7)

    async def test_a_cut_off_leader_acknowledges_and_reads_nothing(self) -> None:
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        self.cluster.isolate(self.name)
        await self.cluster.clock.advance(1_500)
        for msg in (ReadDocument(), StoreDocument(4, compress_document(_document(4))), Depart("1")):
            self.assertIsInstance(await self._ask(msg), Unavailable)

    async def test_a_leaving_upstream_is_removed_from_every_gateway_before_the_answer(self) -> None:
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        await self._announce("1", 1)
        await self.cluster.clock.advance(MIN_UPDATE_INTERVAL_MS)
        session = self._join()
        self.assertEqual(self._known_upstreams(session), {"1"})
        self.assertEqual(await self._announce("1", 2, leaving=True), Accepted())
        self.assertEqual(self._known_upstreams(session, {"1"}), set())
        await self._announce("1", 1)
        self.assertEqual(self._messages(session, UpstreamsChange), [])

    async def test_an_engine_that_restarts_under_its_name_serves_again(self) -> None:
        # The engine crashes, and its next incarnation numbers its announcements from the start. If
        # it were taken for the previous one, its announcements would be ignored as old, and
        # requests would be sent to it for adapters that it lost. A late announcement of the
        # previous incarnation changes nothing.
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        await self._announce("1", 50, started_ms=1_000)
        session = self._join()
        await self._announce("1", 1, started_ms=2_000)
        await self._announce("1", 51, started_ms=1_000)
        await self.cluster.clock.advance(300)
        self.assertEqual(self._known_upstreams(session), {"1~2000"})

    async def test_a_departure_without_a_start_time_is_of_the_latest_start(self) -> None:
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        await self._announce("1", 1, started_ms=1_000)
        await self._announce("1", 1, started_ms=2_000)
        session = self._join()
        self.assertEqual(await self._ask(Depart("1")), Accepted())
        await self._announce("1", 2, started_ms=2_000)
        self.assertEqual(self._known_upstreams(session), set())

    async def test_an_upstream_of_an_unknown_service_takes_no_address(self) -> None:
        # Another program announces the address of a serving engine under a service that no document
        # contains. If it got the address as the newest announcement, the engine would get no work.
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        await self._announce("1", 1)
        session = self._join()
        record = UpstreamRecord("ghost", "nowhere", "127.0.0.1:1", "dc")
        self.assertEqual(await self._ask(Announce(record, 1, None)), Accepted())
        await self.cluster.clock.advance(300)
        self.assertEqual(self._known_upstreams(session), {"1"})

    async def test_the_next_leader_knows_which_upstreams_left(self) -> None:
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        await self._announce("1", 1)
        self.assertEqual(await self._ask(Depart("1")), Accepted())
        await self._depose()
        session = self._join()
        self.assertEqual(self._known_upstreams(session), set())

    async def test_the_next_leader_knows_how_fast_engines_are(self) -> None:
        # After all hosts lost power, all callers wait. A leader that starts with default values
        # would leave engines that process prompts twice as fast half idle for its first seconds.
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        await self._announce("1", 1)
        await self.cluster.clock.advance(300)
        session = self._join()
        for number in range(120):
            await self._place(session, f"t{number}", prompt_tokens=1_000)
            await self.cluster.clock.advance(400 if not number else 20)
            term = self.leaders[self.name].leading()
            assert term is not None
            term.handle(session, Release(f"t{number}", "done", RunTimes(30.0, 0.0, 20.0)))
        await self.cluster.clock.advance(1_500)
        state = self.leaders[self.name]._state
        self.assertLess(state.engine_kinds["drafts"].ms_per_token, EngineKind().ms_per_token / 1.4)
        await self._depose()
        term = self.leaders[self.name].leading()
        assert term is not None
        schedule = term._placer.engines["1"].prefill
        self.assertLess(schedule.ms_per_token, EngineKind().ms_per_token / 1.4)

    # Guards against a leader that knows of no slowdown, or keeps one that is over.
    async def test_reported_slowdowns_hold_for_a_moment_and_end_with_the_leader(self) -> None:
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        await self._announce("1", 1)
        await self.cluster.clock.advance(300)
        session = self._join()
        term = self.leaders[self.name].leading()
        assert term is not None
        term.handle(session, EngineLoads({"1": 2.5, "gone": 2.5}))
        self.assertEqual(term._placer.engines["1"].slowness, 2.5)
        self.assertEqual(term.slowed_engines, 1)
        # The gateway's reports stop.
        await self.cluster.clock.advance(FRESH_MS + 200)
        self.assertEqual((term._placer.engines["1"].slowness, term.slowed_engines), (1, 0))
        term.handle(session, EngineLoads({"1": 2.5}))
        await self._depose()
        successor = self.leaders[self.name].leading()
        assert successor is not None
        self.assertEqual(successor._placer.engines["1"].slowness, 1)
        successor.handle(self._join(), EngineLoads({"1": 2.5}))
        self.assertEqual(successor._placer.engines["1"].slowness, 2.5)

    async def _depose(self) -> None:
        """Cut off the leader and wait for the next one."""
        self.cluster.isolate(self.name)
        old = self.name
        while self.name == old:
            await self.cluster.clock.advance(50)
            self.name = next((n for n in self.cluster.active_leaders() if n != old), old)
        await self.cluster.clock.advance(200)

    async def _place(self, session: GatewaySession, ticket: str, prompt_tokens: int = 10) -> None:
        term = self.leaders[self.name].leading()
        assert term is not None
        name = AdapterName("base", "a1")
        term.handle(
            session, PlaceRequest(ticket, "drafts", name, prompt_tokens, 5, (), 1, 500, 4000, "dc")
        )

    async def test_only_a_leader_that_can_decide_grants_repeats(self) -> None:
        # A leader that is cut off still answers the gateways that reach it. If both it and its
        # successor granted repeats, engines would get twice as many as the bound allows.
        await self.cluster.clock.advance(REPEATS.window_ms)
        session = self._join()
        term = self.leaders[self.name].leading()
        assert term is not None
        term.handle(session, AskRepeat(1, "drafts"))
        self.assertEqual(self._messages(session, AnswerRepeat), [AnswerRepeat(1, True)])
        self.cluster.isolate(self.name)
        await self.cluster.clock.advance(1_500)
        term.handle(session, AskRepeat(2, "drafts"))
        self.assertEqual(self._messages(session, AnswerRepeat), [AnswerRepeat(2, False)])

    async def test_requests_are_placed_after_one_load_with_the_term_as_fencing_token(self) -> None:
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        await self._announce("1", 1)
        session = self._join()
        await self.cluster.clock.advance(300)
        await self._place(session, "t1")
        await self._place(session, "t2")
        await self.cluster.clock.advance(400)
        placed = self._messages(session, Grant)
        self.assertEqual([(one.ticket, one.instance) for one in placed], [("t1", "1"), ("t2", "1")])
        term = self.cluster.replicas[self.name].term
        self.assertEqual([token for token, _ in self.engines.orders], [term])
        leading = self.leaders[self.name].leading()
        assert leading is not None
        leading.handle(session, Release("t1", "done"))
        self.assertEqual(session.tickets, {"t2"})

    async def test_a_required_version_is_loaded_and_granted(self) -> None:
        await self._ask(StoreDocument(3, compress_document(_document(3))))
        await self._announce("1", 1)
        self.assertEqual(await self._ask(StoreVersion("base", "a1", 4)), Accepted())
        session = self._join()
        await self.cluster.clock.advance(300)
        await self._place(session, "t1")
        await self.cluster.clock.advance(400)
        self.assertEqual([one.version for one in self._messages(session, Grant)], [4])
        self.assertIn(
            LoadAdapter("1", AdapterName("base", "a1"), 4), [o for _, o in self.engines.orders]
        )
