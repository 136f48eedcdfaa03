"""Which prompt parts are blamed for the ends of engines, on plain data."""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..control.commands import COMMAND_CODEC, ClearParts, ForgetParts, HoldParts, NoteUpstreamEnd
from ..control.control_state import ControlState
from ..control.crash_messages import QuarantinedParts
from ..control.part_blame import MIN_OTHER_ANSWERS, parts_to_hold
from ..control.part_ledger import (
    HOLD_MS,
    MAX_ANSWERED,
    MAX_HELD,
    MAX_PART_ENDS,
    PartLedger,
)
from ..control.part_monitor import PartMonitor
from ..control.run_parts import RunParts
from ..placement.suspect_parts import SuspectParts

MANY = MIN_OTHER_ANSWERS


class PartBlameTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = PartLedger()

    def _end(self, instance: str, overlapping: str = "", **runs: str) -> tuple[str, ...] | None:
        found = [RunParts(name, tuple(parts.split())) for name, parts in runs.items()]
        self.ledger.note_end(instance, "s", found, overlapping.split())
        return parts_to_hold(self.ledger, instance, MANY)

    def test_a_part_in_two_ends_of_different_requests_is_held(self) -> None:
        self.assertIsNone(self._end("e1", r1="g b1", r2="b2"))
        self.assertEqual(self._end("e2", r3="g b3", r4="b4"), ("g",))

    def test_one_request_in_all_ends_explains_them(self) -> None:
        self._end("e1", r1="g b1")
        self.assertIsNone(self._end("e2", r1="g b1"))
        self.assertEqual(self._end("e3", r2="g b2"), ("g",))

    # Guards against two callers whose requests are sent on together from engine to engine: neither
    # was in more ends than the other, and each pair of them took five engines.
    def test_two_requests_in_all_ends_implicate_the_part_that_both_have(self) -> None:
        self._end("e1", r1="g b1", r2="g b2")
        self.assertIsNone(self._end("e2", r1="g b1", r2="g b2"))
        self.assertEqual(self._end("e3", r1="g b1", r2="g b2"), ("g",))

    # Guards against a sound request that is refused since it ran beside a fatal one, and a part of
    # both of them was answered since the first end.
    def test_two_requests_in_all_ends_implicate_no_part_that_was_answered(self) -> None:
        self._end("e1", r1="c b1", r2="c b2")
        self.ledger.clear(("c",))
        self.assertIsNone(self._end("e2", r1="c b1", r2="c b2"))
        self.assertIsNone(self._end("e3", r1="c b1", r2="c b2"))

    # Guards against a hold of two parts together that refuses none of the requests that end engines
    # under one of them beside others, and takes all ends as explained.
    def test_parts_that_another_end_has_in_different_requests_are_not_held_together(self) -> None:
        self._end("e1", r1="c g")
        self._end("e2", r2="d g", r3="c b3")
        self.assertIsNone(self._end("e3", r4="c g"))
        self.assertEqual(self._end("e4", r5="d g"), ("g",))

    def test_a_hold_explains_ends_of_requests_with_all_its_parts_only(self) -> None:
        self._end("e1", r1="c g")
        self._end("e2", r2="g", r3="c")
        self.assertEqual(self.ledger.hold(("c", "g")), ("e1",))

    # Guards against a common part in all ends that keeps the fatal one beside it from being held:
    # few callers, whose requests run beside the fatal ones as they share that part.
    def test_of_parts_in_the_same_ends_the_one_that_was_answered_before_is_not_to_blame(
        self,
    ) -> None:
        self.ledger.note_known(("c",))
        self._end("e1", r1="c g")
        self.assertEqual(self._end("e2", r2="d g", r3="c b3"), ("g",))

    def test_a_part_that_was_answered_before_is_held_after_one_end_more(self) -> None:
        self.ledger.note_known(("g",))
        self._end("e1", r1="g b1")
        self.assertIsNone(self._end("e2", r2="g b2"))
        self.assertEqual(self._end("e3", r3="g b3"), ("g",))

    # Guards against a rare sound part that is held, and explains ends that it did not cause: chance
    # brought it into two of the three ends under a fatal one, which one request was in each time.
    def test_a_part_in_fewer_ends_than_another_is_not_to_blame(self) -> None:
        self._end("e1", r1="g b1", r2="g rare")
        self._end("e2", r1="g b1")
        self.assertIsNone(self._end("e3", r1="g b1", s="rare b3"))
        self.assertEqual(self._end("e4", r4="g b4"), ("g",))

    def test_ends_that_overlap_are_one(self) -> None:
        self._end("e1", r1="g")
        self.assertIsNone(self._end("e2", overlapping="g", r2="g"))

    def test_parts_of_different_requests_are_left_to_the_next_end(self) -> None:
        self._end("e1", r1="g", r2="c")
        self.assertIsNone(self._end("e2", r3="g", r4="c"))
        self.assertEqual(self._end("e3", r5="g"), ("g",))

    def test_parts_of_the_same_requests_are_held_together(self) -> None:
        self._end("e1", r1="g c")
        self.assertEqual(self._end("e2", r2="g c"), ("c", "g"))

    # Guards against a common part that is held since it ran where engines end for another cause.
    def test_a_part_that_was_answered_before_is_held_after_more_ends(self) -> None:
        self._end("e1", r1="c b1")
        self.ledger.clear(("c",))
        self.assertIsNone(self._end("e2", r2="c b2"))
        self.assertIsNone(self._end("e3", r3="c b3"))
        self.assertIsNone(self._end("e4", r4="c b4"))
        self.assertEqual(self._end("e5", r5="c b5"), ("c",))

    # Guards against a fatal part that gets more engines since nobody suspected it at one end.
    def test_a_part_that_no_answer_cleared_is_held_after_two_ends(self) -> None:
        self.ledger.note_cleared("e1", ("g",))
        self._end("e2", r2="g b2")
        self.assertEqual(self._end("e3", r3="g b3"), ("g",))

    # Guards against a part that ends engines and is hidden by a common one beside it.
    def test_a_part_beside_one_that_was_answered_is_held_by_itself(self) -> None:
        self._end("e1", r1="c b1")
        self.ledger.clear(("c",))
        self._end("e2", r2="c g")
        self.assertEqual(self._end("e3", r3="c g b3"), ("g",))

    def test_nothing_is_held_where_nothing_else_is_answered(self) -> None:
        self._end("e1", r1="g")
        self._end("e2", r2="g")
        self.assertIsNone(parts_to_hold(self.ledger, "e2", MANY - 1))

    def test_parts_that_were_held_before_need_one_end(self) -> None:
        self.ledger.hold(("g",))
        self.assertIsNone(parts_to_hold(self.ledger, "e1", 0))
        self.ledger.forget((), ("g",))
        self.assertEqual(self._end("e1", r1="g b"), ("g",))
        self.ledger.hold(("g",))
        self.assertEqual(self.ledger.quarantined(), (QuarantinedParts(("g",), 10 * HOLD_MS),))


class PartLedgerTest(unittest.TestCase):
    def test_a_part_that_is_cleared_leaves_ends_and_sets(self) -> None:
        ledger = PartLedger()
        ledger.note_end("e1", "s", [RunParts("r1", ("b",)), RunParts("r2", ("b", "d"))], ())
        ledger.hold(("c", "g"))
        ledger.clear(["b", "c"])
        self.assertEqual(ledger.ends["e1"].runs, (RunParts("r2", ("d",)),))
        self.assertEqual(set(ledger.held.values()), {("g",)})
        ledger.clear(["d", "g"])
        self.assertEqual((ledger.ends, ledger.held, ledger.offences), ({}, {}, {}))

    def test_a_hold_explains_its_ends(self) -> None:
        ledger = PartLedger()
        ledger.note_end("e1", "s", [RunParts("r1", ("g", "b"))], ())
        ledger.note_end("e2", "s", [RunParts("r2", ("b",))], ())
        self.assertEqual(ledger.hold(("g",)), ("e1",))
        self.assertEqual(ledger.suspects(), {"g", "b"})
        self.assertEqual(list(ledger.ends), ["e2"])

    def test_a_repeated_report_is_the_same_end(self) -> None:
        ledger = PartLedger()
        for _ in range(3):
            ledger.note_end("e1", "s", [RunParts("r1", ("g",))], ())
        self.assertEqual((len(ledger.ends), ledger.counts()["g"]), (1, 1))

    # Guards against a sound part that a new leader holds: reports of ends are sent to it again, of
    # which it doesn't know that the fatal part beside the sound one was found.
    def test_a_report_sent_again_is_no_evidence_once_its_end_is_explained(self) -> None:
        ledger = PartLedger()
        ledger.note_end("e1", "s", [RunParts("r1", ("g", "b"))], ())
        ledger.hold(("g",))
        ledger.note_end("e1", "s", [RunParts("r1", ("g", "b")), RunParts("r0", ("b",))], ())
        ledger.note_end("e2", "s", [RunParts("r2", ("b",))], ())
        self.assertIsNone(parts_to_hold(ledger, "e2", MANY))

    def test_a_report_sent_again_implicates_no_part_that_was_cleared(self) -> None:
        ledger = PartLedger()
        for runs in (
            [RunParts("r1", ("b",))],
            [RunParts("r1", ("b",)), RunParts("r2", ("b", "d"))],
        ):
            ledger.note_end("e1", "s", runs, ())
            ledger.clear(["b"])
            ledger.note_end("e1", "s", runs, ())
        self.assertEqual(ledger.counts(), {"d": 1})

    # Guards against memory that grows with parts that are new in each request.
    def test_ends_and_holds_are_bounded(self) -> None:
        ledger = PartLedger()
        for at in range(2 * MAX_PART_ENDS):
            ledger.note_end(f"e{at}", "s", [RunParts("r", (f"p{at}",))], ())
        for at in range(2 * MAX_HELD):
            ledger.hold((f"q{at}",))
        self.assertEqual((len(ledger.ends), len(ledger.held)), (MAX_PART_ENDS, MAX_HELD))
        for at in range(2 * MAX_PART_ENDS):
            ledger.note_end(f"f{at}", "s", [RunParts("r", ("c", "g"))], ())
            ledger.clear(["c"])
            ledger.hold(("g",))
        self.assertEqual((len(ledger.cleared), len(ledger.explained)), (0, MAX_PART_ENDS))
        for at in range(2 * MAX_PART_ENDS):
            ledger.note_end(f"d{at}", "s", [RunParts("r", ("c", "d"))], ())
        ledger.clear(["c"])
        self.assertLessEqual(len(ledger.cleared), MAX_PART_ENDS)
        ledger.clear(f"a{at}" for at in range(2 * MAX_ANSWERED))
        self.assertEqual(len(ledger.answered), MAX_ANSWERED)

    # Guards against a hold that a restart of all controllers forgets.
    def test_ends_and_holds_are_part_of_the_replicated_state(self) -> None:
        state = ControlState()
        runs = (RunParts("r1", ("g", "c")),)
        commands = (
            NoteUpstreamEnd("e1", ("r1",), (), "s", runs, ()),
            HoldParts(("c", "g")),
            NoteUpstreamEnd("e2", ("r2",), (), "s", (RunParts("r2", ("b",)),), ()),
            ClearParts(("c",)),
        )
        for command in commands:
            state.apply(0, COMMAND_CODEC.encode(command))
        restored = ControlState()
        restored.restore(state.dump())
        parts = restored.crashes.parts
        self.assertEqual(set(parts.held.values()), {("g",)})
        self.assertEqual(list(parts.ends), ["e2"])
        self.assertEqual(list(parts.answered), ["c"])
        self.assertTrue(restored.crashes.ends["e1"].explained)
        restored.apply(0, COMMAND_CODEC.encode(ForgetParts(("e2",), ("g",))))
        self.assertEqual((parts.ends, parts.held, parts.offences), ({}, {}, {"g": 1}))

    # Guards against a common part that a new leader takes for the cause of ends of before its term.
    def test_parts_that_were_cleared_before_an_end_was_stored_stay_cleared(self) -> None:
        state = ControlState()
        runs = (RunParts("r1", ("g", "c")),)
        ends = (
            NoteUpstreamEnd("e1", ("r1",), cleared_parts=("c",)),
            NoteUpstreamEnd("e1", ("r1",), (), "s", runs),
        )
        for command in ends:
            state.apply(0, COMMAND_CODEC.encode(command))
        restored = ControlState()
        restored.restore(state.dump())
        self.assertEqual(restored.crashes.parts.ends["e1"].parts(), {"g"})


class PartMonitorTest(unittest.TestCase):
    # Guards against popular parts that a new leader holds: gateways report ends again, and not all
    # at the same moment as another one reports that the part was answered since.
    def test_an_answer_that_a_gateway_tells_of_clears_parts_of_earlier_ends_only(self) -> None:
        for told_first in (True, False):
            with self.subTest(told_first):
                suspects = SuspectParts()
                monitor = PartMonitor(ControlState(), suspects, ManualClock())
                if told_first:
                    monitor.answered(("before", "after"), 100)
                monitor.run_ended("e1", ("before",), 50)
                monitor.run_ended("e1", ("after",), 150)
                if not told_first:
                    monitor.answered(("before", "after"), 100)
                self.assertNotIn("before", suspects)
                self.assertIn("after", suspects)

    def test_a_new_leader_suspects_no_part_of_an_end_that_is_explained(self) -> None:
        state = ControlState()
        state.crashes.note_parts("e1", "s", [RunParts("r1", ("g", "b"))], ())
        state.crashes.hold_parts(("g",))
        suspects = SuspectParts()
        PartMonitor(state, suspects, ManualClock()).run_ended("e1", ("g", "b"), 0)
        self.assertNotIn("b", suspects)

    # Guards against a new leader that begins without the evidence and the holds of the last one.
    def test_a_new_leader_knows_what_is_suspect_and_held(self) -> None:
        state = ControlState()
        state.crashes.note_parts("e1", "s", [RunParts("r1", ("b",))], ())
        state.crashes.hold_parts(("g",))
        suspects = SuspectParts()
        PartMonitor(state, suspects, ManualClock())
        self.assertIn("b", suspects)
        self.assertIn("g", suspects)
        self.assertEqual(suspects.retry_ms({"g", "x"}), HOLD_MS)
        self.assertIsNone(suspects.retry_ms({"b", "x"}))


class SuspectPartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspects = SuspectParts()
        self.suspects.suspect(["g", "b"], "s", "e0", 0)
        self.now_ms = 1_000

    def _barred(self, *keys: str) -> set[str] | None:
        barred = self.suspects.barred(keys, ["e1", "e2", "e3"], self.now_ms)
        return set(barred) if barred is not None else None

    def test_requests_with_a_suspect_part_share_one_engine(self) -> None:
        self.assertEqual(self._barred("g"), set())
        self.suspects.assigned("t1", ["g"], "e1")
        self.assertEqual(self._barred("g"), {"e2", "e3"})
        self.suspects.ended("t1")
        self.assertEqual(self._barred("g"), set())

    def test_different_suspects_run_apart_while_there_are_engines(self) -> None:
        self.suspects.assigned("t1", ["g"], "e1")
        self.assertEqual(self._barred("b"), {"e1"})
        self.suspects.assigned("t2", ["b"], "e2")
        self.assertIsNone(self._barred("g", "b"))
        self.suspects.suspect(["c", "d"], "s", "e0", 0)
        self.suspects.assigned("t3", ["c"], "e3")
        self.assertEqual(self._barred("d"), set())

    def test_requests_wait_until_common_parts_are_cleared_and_an_end_is_judged(self) -> None:
        self.now_ms = 10
        self.assertIsNone(self._barred("g"))
        self.assertEqual(self._barred("other"), set())
        self.now_ms = 100
        self.assertEqual(self._barred("g"), set())
        self.suspects.suspect(["g"], "s", "e1", 100)
        self.now_ms = 200
        self.assertIsNone(self._barred("g"))
        self.assertEqual(self._barred("b"), set())
