"""What the leader makes of single gateways' observations of engines."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import Mock

from ..clock import ManualClock
from ..control.crash_messages import BrokenRun
from ..coordination.gateway_observations import REPORT_DELAY_MS, GatewayObservations
from ..coordination.gateway_session import GatewaySession
from ..coordination.helper_directory import (
    MEMBERS_INTERVAL_MS,
    REPORTS_INTERVAL_MS,
    HelperDirectory,
)
from ..paths.leader_messages import CanHelp, HelperGateways
from ..placement import AdapterName, PlaceRequest, RunOutcome
from ..placement.placer import Placer
from ..placement.run_times import NO_TIMES
from ..routes import EngineSpec, ModelSpec

SPEC = EngineSpec(16, 100_000, (ModelSpec("base", 50),), 1_000, 4, 5)


class GatewayObservationsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.placer = Placer(self.clock)
        self.placer.engine_up("e", "s", "dc", SPEC)
        self.upstreams, self.crashes = Mock(), Mock()
        self.observations = GatewayObservations(
            self.placer, self.upstreams, self.crashes, self.clock
        )
        self.sends = 0

    def _release(self, gateway: str, outcome: RunOutcome) -> None:
        self.sends += 1
        ticket = f"{gateway}/{self.sends}"
        req = PlaceRequest(ticket, "s", AdapterName("", ""), 1, 1, (), 1, 500, 4000, "dc")
        self.placer.adopt(req, "e")
        self.observations.released(gateway, ticket, outcome, NO_TIMES)

    def _report(self, broke_ago_ms: int) -> Any:
        report = BrokenRun("r", "e", "10.0.0.1:80", True, broke_ago_ms + 20, broke_ago_ms)
        self.observations.reported("g1", report)
        return self.crashes.handle_report.call_args.args[0]

    # Guards against an engine that is taken from all gateways on the reports of one.
    def test_a_gateway_that_reaches_no_engine_ejects_none(self) -> None:
        for _ in range(20):
            self._release("g1", RunOutcome.NO_PATH)
        engine = self.placer.engines["e"]
        self.assertFalse(engine.is_ejected(0))
        self.assertTrue(engine.reach.is_cut_from("g1", 0))
        self.assertFalse(engine.reach.is_cut_from("g2", 0))

    def test_failures_that_others_confirm_eject_until_someone_has_an_answer(self) -> None:
        for _ in range(2):
            self._release("g1", RunOutcome.UNREACHABLE)
        self.assertTrue(self.placer.engines["e"].is_ejected(0))
        self._release("g2", RunOutcome.DONE)
        self.assertFalse(self.placer.engines["e"].is_ejected(0))

    # Guards against an engine that is dropped for all since two gateways are cut off from it.
    async def test_an_end_is_not_believed_if_the_engine_answers_others_afterwards(self) -> None:
        await self.clock.advance(REPORT_DELAY_MS + 100)
        self._release("g2", RunOutcome.DONE)
        self.assertFalse(self._report(REPORT_DELAY_MS + 50).refuses)
        self.upstreams.ended.assert_not_called()

    async def test_answers_from_before_the_break_do_not_hide_an_end(self) -> None:
        await self.clock.advance(1_000)
        self._release("g2", RunOutcome.DONE)
        self.assertTrue(self._report(50).refuses)
        self.upstreams.ended.assert_called_once_with("e", "g1")


class HelperDirectoryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = HelperDirectory(self.clock)
        self.sessions = [GatewaySession(f"g{at}", f"a{at}", "dc") for at in range(9)]

    async def _sent(self, session: GatewaySession) -> list[HelperGateways]:
        await self.clock.advance(MEMBERS_INTERVAL_MS)
        self.directory.send_due()
        sent = []
        while not session.out.empty():
            sent.append(session.out.get_nowait())
        return sent

    # Guards against messages while nothing changes.
    async def test_helpers_are_sent_once_while_nothing_changes(self) -> None:
        for session in self.sessions:
            self.directory.add(session)
        self.assertEqual(len(await self._sent(self.sessions[0])), 1)
        self.assertEqual(await self._sent(self.sessions[0]), [])

    # Guards against calls that go to helpers that are cut off or leave.
    async def test_gateways_that_are_cut_off_are_no_helpers_until_they_say_so(self) -> None:
        for session in self.sessions:
            self.directory.add(session)
        await self._sent(self.sessions[0])
        for session in self.sessions[:6]:
            self.directory.record(session, CanHelp(False))
        self.assertEqual(self.directory.cut_off, 6)
        named = (await self._sent(self.sessions[0]))[-1].addresses
        self.assertLessEqual(set(named), {"a6", "a7", "a8"})
        for session in self.sessions:
            self.directory.record(session, CanHelp(True))
        self.assertGreater(len((await self._sent(self.sessions[0]))[-1].addresses), 3)

    # Guards against a gateway that starts while it is cut off and has no helpers.
    async def test_a_gateway_that_connects_later_is_sent_its_helpers(self) -> None:
        for session in self.sessions[1:]:
            self.directory.add(session)
        await self._sent(self.sessions[1])
        self.directory.add(self.sessions[0])
        self.directory.record(self.sessions[0], CanHelp(False))
        self.assertEqual(len(await self._sent(self.sessions[0])), 1)

    # Guards against a leader that is kept busy with lists of helpers while hundreds connect.
    async def test_gateways_that_connect_one_after_another_are_told_together(self) -> None:
        sent = 0
        for at in range(20):
            session = GatewaySession(f"late{at}", f"b{at}", "dc")
            self.directory.add(session)
            await self.clock.advance(40)
            self.directory.send_due()
            sent += session.out.qsize()
        self.assertEqual(sent, 0)
        self.assertEqual(len(await self._sent(session)), 1)

    # Guards against a gateway that is cut off and waits for helpers as long as a new one.
    async def test_a_gateway_that_is_cut_off_is_told_soon(self) -> None:
        for session in self.sessions:
            self.directory.add(session)
        await self._sent(self.sessions[0])
        self.directory.record(self.sessions[0], CanHelp(False))
        await self.clock.advance(REPORTS_INTERVAL_MS)
        self.directory.send_due()
        self.assertEqual(self.sessions[0].out.qsize(), 1)

    async def test_a_gateway_without_an_address_is_sent_none(self) -> None:
        old = GatewaySession("old")
        self.directory.add(old)
        self.directory.add(self.sessions[0])
        self.assertEqual(await self._sent(old), [])
