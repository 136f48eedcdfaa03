"""What is known of prompt parts that end engines, over changes of leader, without a network."""

from __future__ import annotations

import unittest
from collections.abc import Collection
from dataclasses import replace

from ..clock import ManualClock
from ..control.control_state import ControlState
from ..control.crash_messages import BrokenRun
from ..control.crash_monitor import REPORT_COLLECTION_MS, CrashMonitor
from ..control.part_blame import MIN_OTHER_ANSWERS
from ..control.part_monitor import QUESTION_MS, UNDECIDED_MS
from ..placement import AdapterName, PlaceRequest, PromptPart
from ..placement.suspect_parts import CLEARING_MS, JUDGING_MS, SuspectParts
from .fakes.applied_log import AppliedLog

RUN_MS = 30
FATAL = "fatal"


class _Term:
    """A leader's crash monitor and its suspects, on the log that all leaders share."""

    def __init__(self, state: ControlState, clock: ManualClock) -> None:
        self.clock = clock
        self.suspects = SuspectParts()
        self.monitor = CrashMonitor(AppliedLog(state), state, clock, self.suspects)  # type: ignore[arg-type]

    def report(
        self,
        end: str,
        request: str,
        broke_ms: int,
        *parts: str,
        run_ms: int = RUN_MS,
        known: str = "",
        ended: bool | None = True,
    ) -> None:
        """Hear of a request that ran for a time until its engine ended.

        It lives if `ended` is False, and it is not known yet if that is None.
        """
        ago_ms = self.clock.now_ms() - broke_ms
        address = f"{end}:1"
        report = BrokenRun(request, end, address, bool(ended), ago_ms + run_ms, ago_ms, parts=parts)
        report = replace(report, is_checked=ended is not None)
        self.monitor.handle_report(replace(report, answered_parts=tuple(known.split())))

    def barred(self, part: str) -> Collection[str] | None:
        """Return the engines on which a part may not run; None for all of them."""
        return self.suspects.barred([part], ["e8", "e9"], self.clock.now_ms())

    def answer(self, *names: str, times: int = MIN_OTHER_ANSWERS) -> None:
        """Hear of answers to requests with these shared parts."""
        parts = tuple(PromptPart(name, 1) for name in (*names, "own"))
        adapter = AdapterName("base", "a")
        for _ in range(times):
            req = PlaceRequest("t", "", adapter, 1, 1, parts, 0, 0, 0, "dc")
            self.suspects.answered(req, self.clock.now_ms())

    async def judge(self) -> None:
        """Let the reports be collected, and commit what is due."""
        await self.clock.advance(REPORT_COLLECTION_MS)
        await self.monitor.commit_due()


class PartEvidenceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.state = ControlState()
        self.clock = ManualClock(60_000)

    def _held(self) -> set[tuple[str, ...]]:
        return set(self.state.crashes.parts.held.values())

    def _begin_term(self) -> _Term:
        return _Term(self.state, self.clock)

    # Guards against a new leader that loses evidence: two gateways tell of the same ends again, one
    # of them later, and each end but the last then seemed to overlap a later one.
    async def test_reports_that_reach_a_new_leader_late_take_no_evidence_away(self) -> None:
        ends_ms = {f"e{at}": 60_000 + 500 * at for at in range(2)}
        term = self._begin_term()
        for end, broke_ms in ends_ms.items():
            await self.clock.advance(broke_ms - self.clock.now_ms())
            term.report(end, "x", broke_ms, FATAL)
            term.report(end, "y", broke_ms, FATAL)
            await term.judge()
        term = self._begin_term()
        for request in ("x", "y"):
            for end, broke_ms in ends_ms.items():
                term.report(end, request, broke_ms, FATAL)
            await term.judge()
        term.answer()
        term.report("e2", "z", self.clock.now_ms(), FATAL)
        await term.judge()
        self.assertEqual(self._held(), {(FATAL,)})

    # Guards against evidence that depends on which gateway connects to a new leader first.
    async def test_ends_that_are_told_of_in_any_order_count_as_separate(self) -> None:
        for order in ("01", "10"):
            with self.subTest(order):
                self.state = ControlState()
                term = self._begin_term()
                now_ms = self.clock.now_ms()
                for at in order:
                    term.report(f"e{at}", f"r{at}", now_ms + 500 * int(at) - 1_000, FATAL)
                    await term.judge()
                self.assertEqual(self.state.crashes.parts.counts()[FATAL], 2)

    # Guards against a part that gets a further engine, since a leader that has just begun, or has
    # few callers, knew of too few answers to other requests to hold it after the last end.
    async def test_a_part_waits_until_enough_else_is_answered_to_judge_it(self) -> None:
        term = self._begin_term()
        for at in range(2):
            term.report(f"e{at}", f"r{at}", self.clock.now_ms(), FATAL)
            await term.judge()
        last_ms = self.clock.now_ms()
        term = self._begin_term()
        term.report("e1", "r1", last_ms, FATAL)
        await term.judge()
        self.assertEqual(self._held(), set())
        await self.clock.advance(JUDGING_MS)
        self.assertIsNone(term.suspects.barred([FATAL], ["e3"], self.clock.now_ms()))
        term.answer()
        await term.monitor.commit_due()
        self.assertEqual(self._held(), {(FATAL,)})

    # Guards against a sound part that is held since chance brought it into two ends: of what ran at
    # one of them, no leader had placed requests with suspect parts apart.
    async def test_an_end_without_a_leader_needs_two_further_ones(self) -> None:
        unplaced_ms = self.clock.now_ms()
        await self.clock.advance(1_000)
        term = self._begin_term()
        term.report("e0", "r0", unplaced_ms, FATAL)
        await term.judge()
        for at, held in ((1, set()), (2, {(FATAL,)})):
            term.answer()
            await self.clock.advance(500)
            term.report(f"e{at}", f"r{at}", self.clock.now_ms(), FATAL)
            await term.judge()
            self.assertEqual(self._held(), held)

    # Guards against a common part that is held for a minute: two engines ended under a fatal one
    # within some ms, and an answer between them cleared the common one of the first end only.
    async def test_an_answer_between_two_ends_clears_a_part_of_the_first(self) -> None:
        term = self._begin_term()
        first_ms = self.clock.now_ms()
        await self.clock.advance(12)
        term.report("e1", "x", first_ms, "/common", FATAL)
        await self.clock.advance(20)
        term.answer("common")
        await term.monitor.commit_due()
        await self.clock.advance(60)
        term.report("e2", "s", self.clock.now_ms(), "/common")
        term.report("e2", "y", self.clock.now_ms(), FATAL, run_ms=200)
        term.answer()
        await term.judge()
        self.assertEqual(self._held(), set())
        self.assertEqual(self.state.crashes.parts.counts()["/common"], 1)

    # Guards against the same without an answer in between: until the leader knows of an end,
    # requests with what ran there are placed on any engine.
    async def test_ends_of_which_no_leader_knew_the_first_are_one_under_a_part(self) -> None:
        term = self._begin_term()
        first_ms = self.clock.now_ms()
        await self.clock.advance(12)
        term.report("e1", "x", first_ms, "/common", FATAL)
        await self.clock.advance(40)
        term.report("e2", "s", self.clock.now_ms(), "/common", run_ms=48)
        term.report("e2", "y", self.clock.now_ms(), FATAL, run_ms=200)
        term.answer()
        await term.judge()
        self.assertEqual(self._held(), set())

    # Guards against what gateways tell of parts that they had answers to, and that is not kept.
    async def test_the_log_keeps_which_parts_were_answered_before_an_end(self) -> None:
        term = self._begin_term()
        for at in range(2):
            term.report(f"e{at}", f"r{at}", self.clock.now_ms(), "/common", FATAL, known="/common")
            await term.judge()
        last_ms = self.clock.now_ms()
        term = self._begin_term()
        term.answer()
        term.report("e1", "r1", last_ms, "/common", FATAL)
        await term.judge()
        self.assertEqual(self._held(), {(FATAL,)})

    # Guards against sound callers who wait for a judgement that a failed service can't give.
    async def test_a_part_waits_for_other_answers_for_a_second_at_most(self) -> None:
        term = self._begin_term()
        for at in range(2):
            term.report(f"e{at}", f"r{at}", self.clock.now_ms(), "sound")
            await term.judge()
        await self.clock.advance(UNDECIDED_MS + 1)
        await term.monitor.commit_due()
        self.assertEqual(term.suspects.barred(["sound"], ["e3"], self.clock.now_ms()), set())

    # Guards against a part that waits for a judgement although a request with it was answered.
    async def test_an_answer_ends_the_wait_for_other_answers(self) -> None:
        term = self._begin_term()
        for at in range(2):
            term.report(f"e{at}", f"r{at}", self.clock.now_ms(), "sound")
            await term.judge()
        term.suspects.clear_answered(["sound"])
        self.assertEqual(term.suspects.barred(["sound"], ["e3"], self.clock.now_ms()), ())
        term.answer()
        await term.monitor.commit_due()
        self.assertEqual(self._held(), set())

    # Guards against requests that are sent on, or that wait for nothing, before or after a look at
    # the port of an engine tells whether it ended.
    async def test_a_part_is_in_question_until_it_is_known_whether_its_engine_ended(self) -> None:
        for ended, told in ((True, ("rare",)), (False, ())):
            with self.subTest(ended):
                term = self._begin_term()
                broke_ms = self.clock.now_ms()
                term.report("e1", "r", broke_ms, "rare", ended=None)
                self.assertIsNone(term.barred("rare"))
                await self.clock.advance(CLEARING_MS + 40)
                self.assertIsNone(term.barred("rare"))
                self.assertEqual(term.suspects.lasting(self.clock.now_ms()), ("rare",))
                term.report("e1", "r", broke_ms, "rare", ended=ended)
                await self.clock.advance(CLEARING_MS)
                self.assertEqual(term.barred("rare"), set() if ended else ())
                self.assertEqual(term.suspects.lasting(self.clock.now_ms()), told)

    # Guards against callers that are all let go at once, each to another engine, as nothing tells
    # for long whether an engine ended.
    async def test_a_part_that_stays_in_question_is_suspect(self) -> None:
        term = self._begin_term()
        term.report("e1", "r", self.clock.now_ms(), "rare", ended=None)
        await self.clock.advance(QUESTION_MS)
        self.assertIsNone(term.barred("rare"))
        await self.clock.advance(CLEARING_MS)
        self.assertEqual(term.barred("rare"), set())
        self.assertEqual(term.suspects.lasting(self.clock.now_ms()), ("rare",))
        self.assertEqual(self.state.crashes.parts.ends, {})

    # Guards against sound callers who wait since a gateway is slow, or tells a new leader again.
    async def test_a_report_that_comes_late_asks_of_no_part_that_was_answered_since(self) -> None:
        term = self._begin_term()
        broke_ms = self.clock.now_ms()
        term.report("e1", "r", broke_ms, "/rare", "/other", ended=None)
        await self.clock.advance(50)
        term.answer("rare", times=1)
        term.report("e1", "s", broke_ms, "/rare", ended=None)
        self.assertEqual(term.barred("/rare"), ())
        self.assertIsNone(term.barred("/other"))
        await self.clock.advance(QUESTION_MS)
        term = self._begin_term()
        term.report("e1", "r", broke_ms, "/rare", "/other", ended=None)
        self.assertTrue(term.suspects.is_empty)

    # Guards against a common part that a release made fatal and that goes from one engine to the
    # next while no look tells; where it is sound, its callers wait for no look.
    async def test_a_common_part_in_two_unsure_ends_waits_like_others(self) -> None:
        term = self._begin_term()
        term.report("e1", "r", self.clock.now_ms(), "common", ended=None, known="common")
        await self.clock.advance(CLEARING_MS)
        self.assertEqual(term.barred("common"), set())
        term.report("e2", "s", self.clock.now_ms(), "common", ended=None, known="common")
        await self.clock.advance(QUESTION_MS - 1)
        self.assertIsNone(term.barred("common"))
