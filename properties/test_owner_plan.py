"""The assignment of engines to gateways: balanced, stable, and with one live owner each."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from chestnutfall.control.owner_plan import plan_owners

names = st.lists(st.sampled_from([f"entry-{n}" for n in range(9)]), unique=True)
engines = st.lists(st.sampled_from([f"engine-{n}" for n in range(14)]), unique=True)


class OwnerPlanTest(unittest.TestCase):
    @given(
        engines,
        names,
        st.dictionaries(
            st.sampled_from([f"engine-{n}" for n in range(14)]),
            st.sampled_from([f"entry-{n}" for n in range(9)]),
        ),
    )
    def test_every_engine_has_one_live_owner_and_loads_are_even(
        self, wanted: list[str], gateways: list[str], present: dict[str, str]
    ) -> None:
        plan = plan_owners(wanted, gateways, present)
        if not gateways:
            self.assertEqual(plan, {})
            return
        self.assertEqual(set(plan), set(wanted))
        self.assertLessEqual(set(plan.values()), set(gateways))
        loads = Counter(plan.values())
        counts = [loads[name] for name in gateways]
        self.assertLessEqual(max(counts) - min(counts), 1)
        self.assertEqual(plan_owners(wanted, gateways, plan), plan)

    @given(
        engines,
        st.lists(st.sampled_from([f"entry-{n}" for n in range(9)]), min_size=2, unique=True),
    )
    def test_only_engines_of_the_lost_gateway_move(
        self, wanted: list[str], gateways: list[str]
    ) -> None:
        before = plan_owners(wanted, gateways, {})
        after = plan_owners(wanted, gateways[1:], before)
        moved = {engine for engine in wanted if before[engine] != after[engine]}
        self.assertEqual(moved, {e for e in wanted if before[e] == gateways[0]})
