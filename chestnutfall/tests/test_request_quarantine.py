"""A gateway's reports on broken answers, and its refusals of quarantined requests.

When an engine ends, dozens of answers break off at one gateway at once. If each of them caused a
port check, the checks would flood a host that has just come back. A refused caller must learn
whether its request ran, and when to retry.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from ..clock import ManualClock
from ..control.crash_messages import (
    AnsweredParts,
    AnsweredRun,
    BrokenRun,
    CrashReport,
    QuarantinedRequest,
    SuspectRequests,
)
from ..quarantine import RequestQuarantine, refuses_connections
from ..quarantine.broken_answer_checks import REMEMBERED_MS
from ..quarantine.broken_parts import MAX_REMEMBERED as MAX_BROKEN_PARTS
from ..quarantine.broken_parts import REMEMBERED_MS as BROKEN_PARTS_MS
from ..quarantine.broken_parts import BrokenParts
from ..quarantine.port_check import ANSWER_S, WAITS, opens_connection
from ..quarantine.request_quarantine import MAX_ANSWERED
from ..requests import Executed, Refusal, fingerprint_of
from ..signals.known_rejections import WINDOW_MS, KnownRejections
from ..signals.messages import HeardRejections, RejectionsInForce
from ..signals.rejection_signal import DeclaredRejections
from .fakes.shifted_loop import ShiftedLoop


class RequestQuarantineTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.reports: list[CrashReport] = []
        self.rejecting = False
        self.asked: list[str] = []
        self.quarantine = RequestQuarantine(self.reports.append, self._refuses, self.clock)

    async def _refuses(self, address: str) -> bool:
        self.asked.append(address)
        await self.clock.sleep_ms(10)
        return address.endswith("1")

    # Guards against parts that no gateway sends without a leader since a check never ended.
    async def test_parts_are_settled_where_a_check_fails_or_rejections_explain_the_end(
        self,
    ) -> None:
        async def fails(address: str) -> bool:
            raise RuntimeError(address)

        self.quarantine = RequestQuarantine(self.reports.append, fails, self.clock)
        checking = self.quarantine.note_broken("r", "i1", "127.0.0.1:1", -70, ("a",))
        self.assertTrue(self.quarantine.unsettled.includes_any(["a"]))
        with self.assertRaises(RuntimeError):
            await checking
        self.assertFalse(self.quarantine.unsettled.includes_any(["a"]))
        for self.rejecting in (False, True):
            self.quarantine = RequestQuarantine(
                self.reports.append,
                self._refuses,
                self.clock,
                lambda instance, since_ms: self.rejecting,
            )
            self.quarantine.note_broken("r", "i1", "127.0.0.1:1", -70, ("a",))
            await self.clock.advance(10)
            self.assertEqual(self.quarantine.unsettled.includes_any(["a"]), not self.rejecting)

    # What a gateway tells of parts that it had answers to.
    async def test_a_report_names_the_parts_that_were_answered_lately(self) -> None:
        self.quarantine.unsettled.note_answer_times(["common"])
        self.quarantine.note_broken("r", "i1", "127.0.0.1:1", -70, ("common", "rare"))
        await self.clock.advance(10)
        (report,) = self.reports
        assert isinstance(report, BrokenRun)
        self.assertEqual(report.answered_parts, ("common",))

    async def test_answers_that_break_off_together_check_the_port_once(self) -> None:
        for number in range(40):
            self.quarantine.note_broken(f"r{number}", "i1", "127.0.0.1:1", -70)
        self.quarantine.note_broken("r40", "i2", "127.0.0.1:2", -70)
        await self.clock.advance(10)
        self.assertEqual(sorted(self.asked), ["127.0.0.1:1", "127.0.0.1:2"])
        self.assertEqual(len(self.reports), 41)
        self.assertIn(BrokenRun("r0", "i1", "127.0.0.1:1", True, 80, 10), self.reports)
        self.assertIn(BrokenRun("r40", "i2", "127.0.0.1:2", False, 80, 10), self.reports)

    # Guards against an end that is not counted: the process was back before its port was checked.
    async def test_an_upstream_that_is_back_as_another_incarnation_has_ended(self) -> None:
        self.quarantine.note_broken("r", "i/first", "127.0.0.1:2", -70)
        await self.clock.advance(10)
        self.assertEqual(self.reports, [BrokenRun("r", "i/first", "127.0.0.1:2", False, 80, 10)])
        await self.clock.advance(500)
        self.quarantine.note_replaced("127.0.0.1:2", "i/second")
        self.assertEqual(
            self.reports[1:], [BrokenRun("r", "i/first", "127.0.0.1:2", True, 580, 510)]
        )
        self.quarantine.note_replaced("127.0.0.1:2", "i/third")
        self.assertEqual(len(self.reports), 2)

    async def test_an_upstream_that_is_back_while_its_port_is_checked_has_ended(self) -> None:
        self.quarantine.note_broken("r", "i/first", "127.0.0.1:2", -70)
        await self.clock.settle()
        self.quarantine.note_replaced("127.0.0.1:2", "i/second")
        await self.clock.advance(10)
        self.assertEqual(self.reports, [BrokenRun("r", "i/first", "127.0.0.1:2", True, 80, 10)])

    async def test_an_incarnation_that_begins_long_after_a_broken_answer_proves_nothing(
        self,
    ) -> None:
        self.quarantine.note_broken("r", "i/first", "127.0.0.1:2", 0)
        await self.clock.advance(REMEMBERED_MS + 20)
        self.quarantine.note_replaced("127.0.0.1:2", "i/second")
        self.assertEqual(len(self.reports), 1)

    # Guards against requests that are blamed for the end of an upstream that bears few rejections.
    async def test_an_upstream_that_has_just_rejected_requests_is_reported_as_such(self) -> None:
        rejections = KnownRejections(lambda report: None, self.clock)
        self.quarantine = RequestQuarantine(
            self.reports.append, self._refuses, self.clock, rejections.rejected_since
        )
        rejections.observe("i1", DeclaredRejections(3), False, True)
        await self.clock.advance(WINDOW_MS)
        self.quarantine.note_broken("r", "i1", "127.0.0.1:1", -70)
        await self.clock.settle()
        # The leader names no upstream that has ended.
        rejections.apply(RejectionsInForce((HeardRejections("i1", None),)))
        await self.clock.advance(10)
        rejections.observe("i2", DeclaredRejections(3), False, True)
        await self.clock.advance(WINDOW_MS + 1)
        self.quarantine.note_broken("r", "i2", "127.0.0.1:1", -70)
        await self.clock.advance(10)
        self.assertEqual([one.rejecting for one in self.reports], [True, False])

    async def test_the_port_is_checked_again_for_a_later_break(self) -> None:
        for _ in range(2):
            self.quarantine.note_broken("r", "i1", "127.0.0.1:1", 0)
            await self.clock.advance(10)
        self.assertEqual(len(self.asked), 2)

    # Guards against a check that fails for all who wait for it, since one of them stops waiting.
    async def test_a_check_goes_on_for_the_others_when_one_stops_waiting(self) -> None:
        for upstream_ends in (True, False):
            address = "127.0.0.1:1" if upstream_ends else "127.0.0.1:2"
            waiting = asyncio.ensure_future(self.quarantine.has_ended(address))
            await self.clock.settle()
            found = self.quarantine.note_broken("r", "i1", address, -70, ("p",))
            await self.clock.settle()
            waiting.cancel()
            await self.clock.advance(10)
            self.assertTrue(found.done() and not found.cancelled())
            self.assertEqual(found.result(), upstream_ends)
        self.assertEqual((len(self.asked), len(self.reports)), (2, 2))

    # Guards against parts that look unsettled for ever.
    async def test_a_check_that_fails_is_over(self) -> None:
        async def fail(address: str) -> bool:
            await self.clock.sleep_ms(10)
            raise ValueError(address)

        self.quarantine = RequestQuarantine(self.reports.append, fail, self.clock)
        await self.clock.advance(60_000)
        found = self.quarantine.note_broken("r", "i1", "127.0.0.1:1", -70, ("p",))
        await self.clock.settle()
        self.assertTrue(self.quarantine.unsettled.includes_any(("p",)))
        await self.clock.advance(10)
        self.assertIsInstance(found.exception(), ValueError)
        self.assertFalse(self.quarantine.unsettled.includes_any(("p",)))

    def test_only_answers_to_watched_requests_are_reported_and_once(self) -> None:
        held = QuarantinedRequest("held", 60_000)
        self.quarantine.update(SuspectRequests(4, ("watched",), (held,)))
        for fingerprint in ("usual", "watched", "watched", "held"):
            self.quarantine.note_answered(fingerprint)
        self.assertEqual(self.reports, [AnsweredRun("watched"), AnsweredRun("held")])

    async def test_a_broken_answer_is_reported_with_the_last_complete_one(self) -> None:
        for fingerprint in ("usual", "other"):
            self.quarantine.note_answered(fingerprint)
        await self.clock.advance(300)
        for fingerprint in ("usual", "never"):
            self.quarantine.note_broken(fingerprint, "i1", "127.0.0.1:1", 230)
        await self.clock.advance(10)
        reports = {one.fingerprint: one for one in self.reports if isinstance(one, BrokenRun)}
        self.assertEqual(reports["usual"].answered_ago_ms, 310)
        self.assertEqual(reports["usual"].delayed_by(500).answered_ago_ms, 810)
        self.assertIsNone(reports["never"].answered_ago_ms)
        self.assertIsNone(reports["never"].delayed_by(500).answered_ago_ms)

    async def test_parts_of_broken_answers_are_reported_once_they_are_answered(self) -> None:
        self.assertFalse(self.quarantine.awaits_parts)
        self.quarantine.note_broken("r", "i1", "127.0.0.1:1", -70, ("g", "b"))
        await self.clock.advance(10)
        self.assertTrue(self.quarantine.awaits_parts)
        for parts in (("b", "c"), ("b",), ("x",)):
            self.quarantine.note_parts_answered(parts)
        answered = [one for one in self.reports if isinstance(one, AnsweredParts)]
        self.assertEqual(answered, [AnsweredParts(("b",))])
        self.assertEqual(answered[0].delayed_by(40).answered_ago_ms, 40)
        await self.clock.advance(BROKEN_PARTS_MS + 1)
        self.quarantine.note_parts_answered(("g",))
        self.assertFalse(self.quarantine.awaits_parts)
        self.assertEqual(len(self.reports), 2)

    def test_broken_parts_are_bounded(self) -> None:
        broken = BrokenParts(self.clock)
        broken.note_broken(f"p{number}" for number in range(MAX_BROKEN_PARTS + 1))
        self.assertEqual(broken.take_answered(("p0", "p1")), ("p1",))

    async def test_the_oldest_complete_answers_are_forgotten(self) -> None:
        for number in range(MAX_ANSWERED + 1):
            self.quarantine.note_answered(f"r{number}")
        for number in (0, MAX_ANSWERED):
            self.quarantine.note_broken(f"r{number}", "i1", "127.0.0.1:1", -70)
        await self.clock.advance(10)
        ages = [one.answered_ago_ms for one in self.reports if isinstance(one, BrokenRun)]
        self.assertEqual(ages, [None, 10])

    def test_refusals_say_what_is_known(self) -> None:
        self.quarantine.update(SuspectRequests(4, (), (QuarantinedRequest("held", 60_000),)))
        self.quarantine.check("usual")
        for executed, status in ((Executed.NO, 503), (Executed.UNKNOWN, 502)):
            with self.subTest(executed), self.assertRaises(Refusal) as caught:
                self.quarantine.check("held", executed)
            self.assertEqual(caught.exception.status, status)
            self.assertIs(caught.exception.executed, executed)
            self.assertEqual(caught.exception.retry_after_ms, 60_000)
        self.quarantine.update(SuspectRequests(5, (), ()))
        self.quarantine.check("held")

    def test_one_caller_s_request_says_nothing_of_another_s(self) -> None:
        asked = {
            fingerprint_of(caller, place, body)
            for caller in ("ana", "ben")
            for place in ("POST /a", "POST /b")
            for body in (b"roof", b"tiles")
        }
        self.assertEqual(len(asked), 8)
        # Invalid UTF-8 in a path arrives as escaped surrogates.
        self.assertEqual(len(fingerprint_of("ana", "GET /\udcff", b"")), 32)


class PortCheckTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_closed_port_shows_that_the_process_ended(self) -> None:
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.assertFalse(await refuses_connections(f"{host}:{port}"))
        server.close()
        await server.wait_closed()
        self.assertTrue(await refuses_connections(f"{host}:{port}"))

    # Guards against an end that counts as none, and a live port as closed, since a busy host kept
    # the gateway from running for longer than a look at a port may take.
    async def test_an_answer_that_came_while_the_process_did_not_run_counts(self) -> None:
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        address = f"{host}:{port}"
        loop = ShiftedLoop()
        for look, is_up in ((opens_connection, True), (refuses_connections, False)):
            if not is_up:
                server.close()
                await server.wait_closed()
            for turns in range(6):
                with self.subTest(look.__name__, turns=turns):
                    looking = asyncio.ensure_future(look(address))
                    for _ in range(turns):
                        await asyncio.sleep(0)
                    loop.skip(10 * ANSWER_S)
                    self.assertTrue(await looking)

    # Guards against looks that go on at a host that never answers.
    async def test_a_port_that_never_answers_neither_opens_nor_refuses(self) -> None:
        async def hangs(host: str, port: int) -> None:
            await asyncio.Event().wait()

        loop = ShiftedLoop()
        with patch("asyncio.open_connection", hangs):
            for look in (opens_connection, refuses_connections):
                looking = asyncio.ensure_future(look("127.0.0.1:1"))
                for _ in range(WAITS):
                    self.assertFalse(looking.done())
                    await loop.pass_s(ANSWER_S / WAITS)
                self.assertFalse(await looking)
