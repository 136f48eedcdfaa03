"""Quarantine of requests that end upstreams, from gateway reports to all gateways.

A request ends one engine after the other while gateways connect and disconnect and the leader
changes; other callers lose their engines each time. Its ends may be reported by different gateways
to different leaders and still have to count together. A rack that loses power ends many upstreams
while they run the most frequent requests, which must not be quarantined for it.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from typing import Any

from ..clock import ManualClock
from ..control.control_state import ControlState
from ..control.crash_ledger import ENDS_BY_CHANCE, ENDS_TO_QUARANTINE, QUARANTINE_MS
from ..control.crash_messages import AnsweredParts, AnsweredRun, BrokenRun, SuspectRequests
from ..control.crash_monitor import POLL_MS, REPORT_COLLECTION_MS, CrashMonitor
from ..coordination.fleet_leader import FleetLeader
from ..coordination.gateway_session import GatewaySession
from ..forwarding.fleet_client import FleetClient
from ..forwarding.fleet_knowledge import FleetKnowledge
from ..forwarding.recent_reports import RESEND_WITHIN_MS
from ..platform.document_json import DocumentJson
from ..quarantine import RequestQuarantine
from ..settings.quota_bounds import STRICT_QUOTA_BOUNDS
from .fakes import FakeCluster
from .fakes.accepting_engines import AcceptingEngines
from .fakes.accounts import usual_memory
from .test_fleet_leader import REPEATS

KNOWN_MS = 1_000
"""A third of the time within which every gateway has to know of a quarantine."""
RUN_MS = 70


def _broken(fingerprint: str, number: int, refuses: bool = True, age_ms: int = 5) -> BrokenRun:
    address = f"127.0.0.1:{9000 + number}"
    return BrokenRun(fingerprint, f"i{number}", address, refuses, RUN_MS + age_ms, age_ms)


class _ClusterCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cluster = FakeCluster(5, ("a", "b", "c"), ControlState)
        await self.cluster.bootstrap()
        self.tasks: list[asyncio.Task[None]] = []
        self.name = (await self.cluster.leader()).replica_id

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await self.cluster.stop()

    def _state(self) -> ControlState:
        machine = self.cluster.replicas[self.name].machine
        assert isinstance(machine, ControlState)
        return machine


class CrashMonitorTest(_ClusterCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        replica = self.cluster.replicas[self.name]
        self.monitor = CrashMonitor(replica, self._state(), self.cluster.clock)
        self.tasks.append(asyncio.ensure_future(self.monitor.run()))

    async def _pass(self, ms: int = REPORT_COLLECTION_MS + 4 * POLL_MS) -> None:
        for _ in range(ms // POLL_MS):
            await self.cluster.clock.advance(POLL_MS)

    def _quarantined(self) -> set[str]:
        return set(self._state().crashes.quarantined)

    async def test_broken_connections_to_a_live_process_are_not_ends(self) -> None:
        for number in range(9):
            self.monitor.handle_report(_broken("usual", number, refuses=False))
            await self._pass()
        self.assertEqual(self._state().crashes.ends, {})

    async def test_answers_that_broke_off_long_before_the_end_are_not_suspects(self) -> None:
        # An upstream sends a malformed answer now and then. More than a second later, it ends while
        # it runs another request; this happens three times.
        for number in range(3):
            self.monitor.handle_report(_broken("spoiled", number, refuses=False))
            await self._pass(1_200)
            self.monitor.handle_report(_broken("fatal", number))
            await self._pass()
        self.assertEqual(self._quarantined(), {"fatal"})
        self.assertEqual(self._state().crashes.suspects().watched, ())

    # Guards against frequent requests in quarantine when upstreams that bear few rejections end one
    # after the other under overload: their callers would be refused for a minute.
    async def test_an_upstream_that_ends_since_it_rejected_requests_implicates_none(self) -> None:
        for number in range(9):
            self.monitor.handle_report(_broken("usual", number))
            self.monitor.handle_report(replace(_broken("other", number), rejecting=True))
            await self._pass()
        self.assertEqual(self._state().crashes.ends, {})

    async def test_rejections_long_before_the_end_explain_nothing(self) -> None:
        for number in range(3):
            spoiled = _broken("spoiled", number, refuses=False)
            self.monitor.handle_report(replace(spoiled, rejecting=True))
            await self._pass(1_200)
            self.monitor.handle_report(_broken("fatal", number))
            await self._pass()
        self.assertEqual(self._quarantined(), {"fatal"})

    async def test_a_request_that_ends_upstreams_is_found_between_ends_by_rejections(self) -> None:
        for number in range(6):
            report = _broken("fatal", number)
            self.monitor.handle_report(replace(report, rejecting=number % 2 == 0))
            await self._pass()
        self.assertEqual(self._quarantined(), {"fatal"})

    async def test_another_incarnation_at_the_address_shows_the_end(self) -> None:
        # The upstream was restarted before the gateway probed its port.
        for number in range(3):
            self.monitor.handle_report(_broken("fatal", number, refuses=False))
            self.monitor.address_reused(f"127.0.0.1:{9000 + number}", f"new-{number}")
            await self._pass()
        self.assertEqual(self._quarantined(), {"fatal"})

    async def test_an_innocent_request_reported_first_is_not_quarantined(self) -> None:
        # An innocent request was resumed together with the fatal one each time, and its gateway
        # reports faster.
        for number in range(3):
            self.monitor.handle_report(_broken("beside", number))
            await self._pass(REPORT_COLLECTION_MS // 2)
            self.monitor.handle_report(_broken("fatal", number, age_ms=REPORT_COLLECTION_MS // 2))
            await self._pass()
        self.assertEqual(self._quarantined(), set())
        self.monitor.handle_report(_broken("fatal", 3))
        await self._pass()
        self.assertEqual(self._quarantined(), {"fatal"})

    async def test_simultaneous_ends_of_a_rack_count_once(self) -> None:
        for number in range(20):
            self.monitor.handle_report(_broken("usual", number))
        await self._pass(20 * POLL_MS + REPORT_COLLECTION_MS)
        self.assertEqual(len(self._state().crashes.ends), 20)
        self.assertEqual(self._quarantined(), set())
        # The callers repeat the request at once, and one more upstream ends for an unrelated
        # reason.
        self.monitor.handle_report(_broken("usual", 20))
        await self._pass()
        self.assertEqual(self._quarantined(), set())

    async def test_consecutive_ends_count_separately(self) -> None:
        for number in range(3):
            self.monitor.handle_report(_broken("fatal", number))
            await self.cluster.clock.advance(RUN_MS)
        await self._pass()
        self.assertEqual(self._quarantined(), {"fatal"})

    async def _end(self, quarantine: RequestQuarantine, number: int, *ran: str) -> None:
        began_ms = self.cluster.clock.now_ms() - RUN_MS
        for one in ran:
            quarantine.note_broken(one, f"i{number}", f"127.0.0.1:{9000 + number}", began_ms)
        await self._pass()

    def _gateway(self) -> RequestQuarantine:
        async def refuses(address: str) -> bool:
            return True

        return RequestQuarantine(self.monitor.handle_report, refuses, self.cluster.clock)

    # Guards against a frequent request that is refused for a minute: it runs on three upstreams as
    # they end, is answered after the first of these ends, and not after the second.
    async def test_an_answer_after_an_end_clears_a_request_of_it(self) -> None:
        gateway = self._gateway()
        await self._end(gateway, 0, "usual")
        gateway.note_answered("usual")
        await self._end(gateway, 1, "usual", "fatal")
        await self._end(gateway, 2, "usual", "fatal")
        self.assertEqual(self._quarantined(), set())
        await self._end(gateway, 3, "fatal")
        self.assertEqual(self._quarantined(), {"fatal"})

    # Guards against a frequent request that is refused for a minute: it runs on five upstreams that
    # end in turn, alone, and is answered between them before any gateway watches it.
    async def test_answers_between_ends_clear_a_request_of_each_end_before(self) -> None:
        gateway = self._gateway()
        for number in range(ENDS_TO_QUARANTINE + ENDS_BY_CHANCE + 1):
            await self._end(gateway, number, "usual")
            ran_at = [at for at, end in self._state().crashes.ends.items() if end.ran("usual")]
            self.assertEqual(ran_at, [f"i{number}"])
            gateway.note_answered("usual")
        self.assertEqual(self._quarantined(), set())

    async def test_an_answer_before_an_end_clears_no_request_of_it(self) -> None:
        # A release of an upstream can make a request fatal that was answered until then.
        gateway = self._gateway()
        gateway.note_answered("fatal")
        for number in range(ENDS_TO_QUARANTINE + ENDS_BY_CHANCE):
            self.assertEqual(self._quarantined(), set())
            await self._end(gateway, number, "fatal")
        self.assertEqual(self._quarantined(), {"fatal"})

    # Guards against a frequent request that is refused for a minute: most engines end within some
    # seconds, for several causes, and none answers it in between.
    async def test_a_request_that_was_answered_before_gives_way_to_a_new_one(self) -> None:
        gateway = self._gateway()
        gateway.note_answered("usual")
        for number, ran in enumerate((("usual",), ("usual", "fatal"), ("usual", "fatal"))):
            await self._end(gateway, number, *ran)
        self.assertEqual(self._quarantined(), set())
        await self._end(gateway, 3, "usual", "fatal")
        self.assertEqual(self._quarantined(), {"fatal"})

    async def test_a_quarantine_ends(self) -> None:
        for number in range(3):
            self.monitor.handle_report(_broken("fatal", number))
            await self._pass()
        self.assertEqual(self._quarantined(), {"fatal"})
        for _ in range(QUARANTINE_MS // 1000 + 2):
            await self.cluster.clock.advance(1000)
        self.assertEqual(self._quarantined(), set())
        self.monitor.handle_report(_broken("fatal", 7))
        await self._pass()
        self.assertEqual(self._quarantined(), {"fatal"})

    async def test_a_failed_commit_is_repeated(self) -> None:
        for number in range(3):
            self.monitor.handle_report(_broken("fatal", number))
            await self.cluster.clock.advance(RUN_MS)
        self.cluster.isolate(self.name)
        await self._pass(600)
        self.cluster.network.cuts.clear()
        # The leader may have lost its term; a refused commit must not lose its reports.
        self.monitor._replica = await self.cluster.leader()
        self.name = self.monitor._replica.replica_id
        self.monitor._state = self._state()
        await self._pass(600)
        self.assertEqual(self._quarantined(), {"fatal"})


class SharedQuarantineTest(_ClusterCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.leaders: dict[str, FleetLeader] = {}
        for name, replica in self.cluster.replicas.items():
            state = replica.machine
            assert isinstance(state, ControlState)
            leader = FleetLeader(
                replica,
                state,
                DocumentJson(),
                AcceptingEngines(),
                self.cluster.clock,
                1000,
                REPEATS,
                STRICT_QUOTA_BOUNDS,
                usual_memory(),
            )
            self.leaders[name] = leader
            self.tasks.append(asyncio.ensure_future(leader.run()))
        await self._advance(500)

    async def _advance(self, ms: int) -> None:
        for _ in range(ms // 25):
            await self.cluster.clock.advance(25)

    def _join(self, gateways: int) -> list[GatewaySession]:
        term = self.leaders[self.name].leading()
        assert term is not None
        sessions = [GatewaySession(f"g{number}") for number in range(gateways)]
        for session in sessions:
            term.add_gateway(session, -1)
        return sessions

    def _report(self, session: GatewaySession, report: Any) -> None:
        term = self.leaders[self.name].leading()
        assert term is not None
        term.handle(session, report)

    @staticmethod
    def _quarantined_for(session: GatewaySession) -> set[str]:
        quarantined: set[str] = set()
        while not session.out.empty():
            msg = session.out.get_nowait()
            if isinstance(msg, SuspectRequests):
                quarantined = {one.fingerprint for one in msg.quarantined}
        return quarantined

    @staticmethod
    def _suspects_told_to(session: GatewaySession) -> set[str]:
        suspects: set[str] = set()
        while not session.out.empty():
            msg = session.out.get_nowait()
            if isinstance(msg, SuspectRequests):
                suspects = set(msg.suspect_parts)
        return suspects

    # Guards against gateways that send a suspect part on without a leader, and a next leader that
    # places it: its gateways tell it what the last one suspected.
    async def test_suspect_parts_are_told_to_gateways_and_by_them_to_the_next_leader(self) -> None:
        sessions = self._join(2)
        self._report(sessions[0], replace(_broken("r", 1), parts=("/seen", "/answered")))
        await self._advance(KNOWN_MS)
        told = [self._suspects_told_to(one) for one in sessions]
        self.assertEqual(told, [{"/seen", "/answered"}] * 2)
        self._report(sessions[1], AnsweredParts(("/answered",)))
        await self._advance(KNOWN_MS)
        self.assertEqual([self._suspects_told_to(one) for one in sessions], [{"/seen"}] * 2)
        (late,) = self._join(1)
        self.assertEqual(self._suspects_told_to(late), {"/seen"})
        await self.cluster.crash(self.name)
        self.name = (await self.cluster.leader()).replica_id
        await self._advance(500)
        term = self.leaders[self.name].leading()
        assert term is not None
        (first,) = self._join(1)
        await self._advance(KNOWN_MS)
        term.add_gateway(GatewaySession("g9", suspect_parts=("/told", "/seen")), -1)
        await self._advance(KNOWN_MS)
        self.assertEqual(self._suspects_told_to(first), {"/seen", "/told"})

    async def test_every_gateway_receives_the_quarantine(self) -> None:
        for gateways in (9, 91, 195, 410):
            with self.subTest(gateways):
                sessions = self._join(gateways)
                fatal = f"fatal-{gateways}"
                for number in range(3):
                    report = _broken(fatal, gateways * 10 + number)
                    self._report(sessions[number * (gateways // 3)], report)
                    await self._advance(RUN_MS + 30)
                await self._advance(KNOWN_MS)
                self.assertEqual(
                    [fatal in self._quarantined_for(one) for one in sessions], [True] * gateways
                )

    async def test_ends_before_and_after_a_change_of_leader_count_together(self) -> None:
        (first,) = self._join(1)
        for number in range(2):
            self._report(first, _broken("fatal", number))
            await self._advance(KNOWN_MS)
        await self.cluster.crash(self.name)
        self.name = (await self.cluster.leader()).replica_id
        await self._advance(500)
        (second,) = self._join(1)
        self._report(second, _broken("fatal", 2))
        await self._advance(KNOWN_MS)
        self.assertEqual(self._quarantined_for(second), {"fatal"})
        # A newly connected gateway gets the quarantine at once.
        (third,) = self._join(1)
        self.assertEqual(self._quarantined_for(third), {"fatal"})

    async def test_a_repeated_report_is_the_same_end(self) -> None:
        (first,) = self._join(1)
        for _ in range(5):
            self._report(first, _broken("usual", 1))
            await self._advance(KNOWN_MS)
        self.assertEqual(self._quarantined_for(first), set())

    async def test_a_complete_answer_at_any_gateway_ends_the_quarantine(self) -> None:
        sessions = self._join(2)
        for number in range(3):
            self._report(sessions[0], _broken("usual", number))
            await self._advance(KNOWN_MS)
        self.assertEqual(self._quarantined_for(sessions[1]), {"usual"})
        self._report(sessions[1], AnsweredRun("usual"))
        await self._advance(KNOWN_MS)
        self.assertEqual([self._quarantined_for(one) for one in sessions], [set(), set()])
        self.assertEqual(self._state().crashes.offences, {})


class ReportsTest(unittest.IsolatedAsyncioTestCase):
    async def test_reports_made_without_a_leader_reach_the_next_one(self) -> None:
        # An engine and the leader end at the same time. The gateway's report must not be lost with
        # the stream, and has to contain its age when the next leader receives it.
        clock = ManualClock()
        client = FleetClient("g", (), FleetKnowledge(DocumentJson(), clock), clock)
        client.report(_broken("old", 1))
        await clock.advance(RESEND_WITHIN_MS)
        client.report(_broken("fatal", 2))
        client.report(AnsweredRun("usual"))
        await clock.advance(1_500)
        client._on_connected("127.0.0.1:1")
        sent = [client._out.get_nowait() for _ in range(client._out.qsize())]
        self.assertEqual(sent, [_broken("fatal", 2, age_ms=1_505), AnsweredRun("usual")])
