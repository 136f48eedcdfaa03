"""Which request is quarantined when other requests run on the same upstreams.

One request ends every upstream that runs it. Others run there at the same time by chance, some on
many of these upstreams. The fatal request must be quarantined after five ends at most. A request
that is answered between two ends must not be, and overlapping ends must not quarantine any request.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from chestnutfall.control.crash_ledger import ENDS_TO_QUARANTINE_TIED, CrashLedger

others = st.sets(st.sampled_from([f"other-{n}" for n in range(6)]), max_size=4)


class CrashLedgerPropertyTest(unittest.TestCase):
    @given(st.lists(others, min_size=ENDS_TO_QUARANTINE_TIED, max_size=20))
    def test_a_request_that_ends_every_upstream_is_quarantined(
        self, concurrent: list[set[str]]
    ) -> None:
        ledger = CrashLedger()
        for number, ran in enumerate(concurrent[:ENDS_TO_QUARANTINE_TIED]):
            ledger.note_end(f"i{number}", ["fatal", *sorted(ran)])
        self.assertIn("fatal", ledger.quarantined)

    @given(st.lists(others, max_size=20))
    def test_a_request_that_is_answered_between_two_ends_is_not_quarantined(
        self, concurrent: list[set[str]]
    ) -> None:
        ledger = CrashLedger()
        for number, ran in enumerate(concurrent):
            ledger.note_end(f"i{number}", [*sorted(ran), "fatal"])
            for one in ran:
                ledger.clear(one)
        self.assertLessEqual(set(ledger.quarantined), {"fatal"})

    @given(st.lists(others, max_size=20))
    def test_overlapping_ends_quarantine_no_request(self, concurrent: list[set[str]]) -> None:
        ledger = CrashLedger()
        seen: set[str] = set()
        for number, ran in enumerate(concurrent):
            ledger.note_end(f"i{number}", sorted(ran - seen), sorted(ran & seen))
            seen |= ran
        self.assertEqual(ledger.quarantined, {})

    @given(st.lists(st.tuples(others, others), max_size=12))
    def test_reports_of_one_end_may_arrive_in_parts(
        self, ends: list[tuple[set[str], set[str]]]
    ) -> None:
        whole, parts = CrashLedger(), CrashLedger()
        for number, (first, second) in enumerate(ends):
            whole.note_end(f"i{number}", ["fatal", *sorted(first | second)])
            parts.note_end(f"i{number}", ["fatal", *sorted(first)])
            parts.note_end(f"i{number}", sorted(second))
        # Separate reports may break a tie sooner; both quarantine the fatal request.
        if len(ends) >= ENDS_TO_QUARANTINE_TIED:
            self.assertIn("fatal", whole.quarantined)
            self.assertIn("fatal", parts.quarantined)
