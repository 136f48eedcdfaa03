"""Which request is held to blame, whatever runs beside it.

One request ends every upstream that runs it; others run beside it by chance, some on many of these
upstreams. It must be held after five ends at most. Nobody else may be held who is answered between
two ends, and nobody at all may be held while ends overlap.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from chestnutfall.control.crash_ledger import ENDS_TO_QUARANTINE_TIED, CrashLedger

others = st.sets(st.sampled_from([f"other-{n}" for n in range(6)]), max_size=4)


class CrashLedgerProperties(unittest.TestCase):
    @given(st.lists(others, min_size=ENDS_TO_QUARANTINE_TIED, max_size=20))
    def test_what_ends_each_upstream_is_held(self, beside: list[set[str]]) -> None:
        ledger = CrashLedger()
        for number, ran in enumerate(beside[:ENDS_TO_QUARANTINE_TIED]):
            ledger.note_end(f"i{number}", ["fatal", *sorted(ran)])
        self.assertIn("fatal", ledger.quarantined)

    @given(st.lists(others, max_size=20))
    def test_who_is_answered_between_two_ends_is_not_held(self, beside: list[set[str]]) -> None:
        ledger = CrashLedger()
        for number, ran in enumerate(beside):
            ledger.note_end(f"i{number}", [*sorted(ran), "fatal"])
            for one in ran:
                ledger.clear(one)
        self.assertLessEqual(set(ledger.quarantined), {"fatal"})

    @given(st.lists(others, max_size=20))
    def test_overlapping_ends_hold_nobody(self, beside: list[set[str]]) -> None:
        ledger = CrashLedger()
        seen: set[str] = set()
        for number, ran in enumerate(beside):
            ledger.note_end(f"i{number}", sorted(ran - seen), sorted(ran & seen))
            seen |= ran
        self.assertEqual(ledger.quarantined, {})

    @given(st.lists(st.tuples(others, others), max_size=12))
    def test_reports_of_one_end_may_come_in_any_parts(
        self, ends: list[tuple[set[str], set[str]]]
    ) -> None:
        whole, parts = CrashLedger(), CrashLedger()
        for number, (first, second) in enumerate(ends):
            whole.note_end(f"i{number}", ["fatal", *sorted(first | second)])
            parts.note_end(f"i{number}", ["fatal", *sorted(first)])
            parts.note_end(f"i{number}", sorted(second))
        # A part may decide a tie sooner; the guilty one is held in both.
        if len(ends) >= ENDS_TO_QUARANTINE_TIED:
            self.assertIn("fatal", whole.quarantined)
            self.assertIn("fatal", parts.quarantined)
