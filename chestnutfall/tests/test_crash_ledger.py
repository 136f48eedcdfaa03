"""Which request is quarantined when upstreams end while they run several requests.

Two failures are possible. An innocent request is quarantined because it was on three engines when
another request ended them. Or no request is, because a frequent request on every engine was part of
as many ends as the one that causes them. The first request that is part of three ends, and of more
than each request that ran together with it, explains them; a request that is answered is cleared.
"""

from __future__ import annotations

import random
import unittest

from ..control.commands import COMMAND_CODEC, ClearSuspect, ForgetCrashes, NoteUpstreamEnd
from ..control.control_state import ControlState
from ..control.crash_ledger import (
    MAX_ANSWERED,
    MAX_ENDS,
    MAX_OFFENDERS,
    MAX_QUARANTINE_MS,
    MAX_QUARANTINED,
    MAX_WATCHED,
    QUARANTINE_GROWTH_FACTOR,
    QUARANTINE_MS,
    CrashLedger,
)
from ..control.run_parts import RunParts


class CrashLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = CrashLedger()
        self.ends = 0

    def _end(self, *suspects: str) -> None:
        self.ends += 1
        self.ledger.note_end(f"i{self.ends}", suspects)

    def _quarantined(self) -> set[str]:
        return set(self.ledger.quarantined)

    def test_the_third_end_quarantines(self) -> None:
        for times in (1, 2):
            self._end("fatal", f"other-{times}")
            self.assertEqual(self._quarantined(), set())
        self._end("fatal")
        self.assertEqual(self._quarantined(), {"fatal"})

    def test_other_requests_are_cleared_of_explained_ends(self) -> None:
        # The other request was resumed together with the fatal one twice. When its own upstream
        # ends much later, that is the first end that counts for it.
        self._end("fatal", "beside")
        self._end("fatal", "beside")
        self._end("fatal")
        self._end("beside")
        self._end("beside")
        self.assertEqual(self._quarantined(), {"fatal"})

    def test_in_flight_requests_of_a_quarantined_one_blame_no_other(self) -> None:
        for _ in range(3):
            self._end("fatal")
        for _ in range(5):
            self._end("fatal", "beside")
        self.assertEqual(self._quarantined(), {"fatal"})
        # Reports of one end that arrive one after the other are one end.
        self.ledger.note_end("i8", ("late report",))
        self.assertFalse(self.ledger.implicates("late report"))

    def test_an_end_that_overlaps_with_another_explains_but_does_not_count(self) -> None:
        for times in range(6):
            self.ledger.note_end(f"o{times}", ("beside",) if times < 2 else (), ("fatal",))
        self.assertEqual(self._quarantined(), set())
        for _ in range(3):
            self._end("fatal")
        self.assertEqual(self._quarantined(), {"fatal"})
        self.assertFalse(self.ledger.implicates("beside"))

    # Guards against a request in quarantine that was answered in full between two ends: gateways
    # send the reports of the last seconds again to a new leader.
    def test_reports_sent_again_to_a_new_leader_blame_no_request_that_was_cleared(self) -> None:
        for number in range(2):
            self.ledger.note_end(f"i{number}", ("answered", "fatal"))
        self.ledger.clear("answered")
        for number in range(2):
            self.ledger.note_end(f"i{number}", ("answered", "fatal"))
        self.assertFalse(self.ledger.implicates("answered"))
        self.ledger.note_end("i2", ("answered", "other"))
        self.assertEqual(self._quarantined(), set())

    # Guards against the same for one that was on several upstreams which ended together.
    def test_reports_sent_again_to_a_new_leader_make_no_overlapping_end_count(self) -> None:
        for number in range(5):
            self.ledger.note_end(f"i{number}", ("usual",) if not number else (), ("usual",))
        for number in range(5):
            self.ledger.note_end(f"i{number}", ("usual",))
        self.assertEqual(self._quarantined(), set())

    def test_a_tie_is_decided_by_the_next_end(self) -> None:
        for _ in range(3):
            self._end("fatal", "resumed with it")
        self.assertEqual(self._quarantined(), set())
        self._end("fatal")
        self.assertEqual(self._quarantined(), {"fatal"})

    def test_two_requests_that_share_every_end_are_both_quarantined(self) -> None:
        for _ in range(4):
            self._end("one", "two")
        self.assertEqual(self._quarantined(), set())
        self._end("one", "two")
        self.assertEqual(self._quarantined(), {"one", "two"})

    # Guards against a frequent request that is refused for a minute, since it was resumed from one
    # engine to the next while others with a fatal prompt part ended them.
    def test_ends_that_a_prompt_part_explains_are_no_evidence_against_a_request(self) -> None:
        for _ in range(3):
            self._end("beside")
            self.ledger.note_parts(f"i{self.ends}", "s", [RunParts(f"r{self.ends}", ("g",))], ())
        self.assertEqual(self._quarantined(), {"beside"})
        self.ledger.hold_parts(("g",))
        self.assertEqual((self._quarantined(), self.ledger.offences), (set(), {}))
        self._end("beside")
        self.assertEqual(self._quarantined(), set())

    def test_a_request_with_ends_of_its_own_stays_quarantined(self) -> None:
        for number in range(4):
            self._end("fatal")
            if number == 1:
                self.ledger.note_parts("i2", "s", [RunParts("r", ("g",))], ())
        self.ledger.hold_parts(("g",))
        self.assertEqual(self._quarantined(), {"fatal"})

    def test_a_complete_answer_clears(self) -> None:
        self._end("usual", "fatal")
        self._end("usual", "fatal")
        self.assertIn("usual", self.ledger.suspects().watched)
        self.ledger.clear("usual")
        self._end("usual", "fatal")
        self.assertEqual(self._quarantined(), {"fatal"})
        self.ledger.clear("fatal")
        self.assertEqual((self._quarantined(), self.ledger.offences), (set(), {}))

    def test_after_a_quarantine_one_end_is_enough_and_it_lasts_longer(self) -> None:
        for _ in range(3):
            self._end("fatal")
        lasts_ms = []
        for _ in range(4):
            lasts_ms.append(self.ledger.quarantine_ms("fatal"))
            self.ledger.forget((), ("fatal",))
            self.assertEqual(self._quarantined(), set())
            self._end("fatal", "beside")
            self.assertEqual(self._quarantined(), {"fatal"})
        self.assertEqual(lasts_ms[:2], [QUARANTINE_MS, QUARANTINE_MS * QUARANTINE_GROWTH_FACTOR])
        self.assertEqual(
            lasts_ms[-1], min(QUARANTINE_MS * QUARANTINE_GROWTH_FACTOR**3, MAX_QUARANTINE_MS)
        )

    def test_memory_is_bounded(self) -> None:
        rng = random.Random(1)
        for number in range(3 * MAX_OFFENDERS):
            request = f"r{number // 3}"
            self._end(request, *(f"x{rng.randrange(9**9)}" for _ in range(3)))
            self.ledger.note_end("i0", (), (), (f"y{number}",))
        self.assertLessEqual(len(self.ledger.ends), MAX_ENDS)
        self.assertLessEqual(len(self.ledger.quarantined), MAX_QUARANTINED)
        self.assertLessEqual(len(self.ledger.offences), MAX_OFFENDERS)
        self.assertEqual(len(self.ledger.answered), MAX_ANSWERED)
        self.assertEqual(self.ledger.evidence.keys(), self.ledger.quarantined.keys())
        self.assertLessEqual(len(self.ledger.suspects().watched), MAX_WATCHED)

    def test_a_snapshot_keeps_the_ledger(self) -> None:
        state = ControlState()
        commands = (
            *(NoteUpstreamEnd(f"i{at}", ("fatal", "beside" * at)) for at in range(3)),
            NoteUpstreamEnd("i4", ("other",)),
            ClearSuspect("nobody"),
            ForgetCrashes(("i0",), ()),
        )
        for index, command in enumerate(commands):
            state.apply(index, COMMAND_CODEC.encode(command))
        other = ControlState()
        other.restore(state.dump())
        self.assertEqual(other.crashes, state.crashes)
        self.assertEqual(set(other.crashes.quarantined), {"fatal"})
