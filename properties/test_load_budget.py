"""The rate of loads from the weight store.

If owners start more loads than the store allows, loads slow each other down or the store refuses
them. Both could happen after an idle hour, if the budget of that time were saved up, and under a
new leader, which does not know the loads that the previous one has just permitted.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from chestnutfall.clock import ManualClock
from chestnutfall.control.load_budget import LoadBudget

PER_S = 5.0


class _Clock(ManualClock):
    def advance_by(self, ms: int) -> None:
        self._now_ms += ms


class LoadBudgetTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.sampled_from([0, 1, 50, 199, 200, 1000, 60_000]), st.booleans()),
            min_size=1,
            max_size=60,
        )
    )
    def test_no_window_has_more_loads_than_the_rate_allows(
        self, steps: list[tuple[int, bool]]
    ) -> None:
        clock = _Clock()
        budget = LoadBudget(clock)
        started_ms: list[int] = []
        for wait_ms, new_leader in steps:
            if new_leader:
                budget = LoadBudget(clock)
            clock.advance_by(wait_ms)
            while budget.take(PER_S):
                started_ms.append(clock.now_ms())
        for first, begin_ms in enumerate(started_ms):
            for last in range(first, len(started_ms)):
                window_ms = started_ms[last] - begin_ms
                self.assertLessEqual(last - first + 1, window_ms * PER_S / 1000 + 2)

    def test_one_second_permits_loads_at_the_rate(self) -> None:
        clock = _Clock()
        budget = LoadBudget(clock)
        taken = 0
        for _ in range(1000):
            clock.advance_by(1)
            taken += budget.take(PER_S)
        self.assertIn(taken, (4, 5))
