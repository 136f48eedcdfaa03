"""Which copies commit an entry and which votes elect a leader, when disks may be lost.

With three voters, of which two lost their disks, no majority is left, and only a leader adds
voters: no controller led ever again, and what two copies had acknowledged was gone.
"""

from __future__ import annotations

import unittest

from ..consensus import Member, Tolerance
from ..consensus.quorum import Quorum

FIVE_IN_ONE = dict.fromkeys("abcde", "dc1")
FIVE_IN_THREE = {"a": "dc1", "b": "dc1", "c": "dc2", "d": "dc2", "e": "dc3"}


def _members(places: dict[str, str]) -> tuple[Member, ...]:
    return tuple(Member(name, name, True, place, "region") for name, place in places.items())


class ToleranceTest(unittest.TestCase):
    def test_a_majority_must_be_left_after_each_loss(self) -> None:
        cases = (
            (Tolerance(2), FIVE_IN_ONE, True),
            (Tolerance(2), dict.fromkeys("abcd", "dc1"), False),
            (Tolerance(1), dict.fromkeys("abc", "dc1"), True),
            (Tolerance(1, 1), FIVE_IN_THREE, True),
            (Tolerance(1, 1), {"a": "dc1", "b": "dc1", "c": "dc2"}, False),
            (Tolerance(1, 1), {"a": "dc1", "b": "dc2", "c": "dc3"}, True),
            (Tolerance(1, 1), {"a": "", "b": "", "c": ""}, False),
            (Tolerance(1, 1), {"a": "dc1", "b": "dc2", "c": ""}, False),
            (Tolerance(0, 2), {"a": "1", "b": "2", "c": "3", "d": "4", "e": "5"}, True),
            (Tolerance(0, 2), FIVE_IN_THREE, False),
            (Tolerance(0, 0, 1), FIVE_IN_THREE, False),
        )
        for tolerance, places, borne in cases:
            with self.subTest(tolerance=tolerance, places=places):
                self.assertEqual(tolerance.is_borne_by(_members(places)), borne)

    def test_hosts_whose_loss_does_not_count_bear_nothing(self) -> None:
        uncounted = tuple(Member(name, name, counts=False) for name in "abc")
        self.assertFalse(Tolerance(1).is_borne_by(uncounted))
        self.assertTrue(Tolerance(1).may_lose(uncounted))


class QuorumTest(unittest.TestCase):
    def setUp(self) -> None:
        self.small = Quorum(_members(dict.fromkeys("abc", "dc1")), Tolerance(2))
        self.full = Quorum(_members(FIVE_IN_ONE), Tolerance(2))

    def test_a_majority_decides_where_it_outlives_each_loss(self) -> None:
        self.assertTrue(self.full.is_sufficient)
        self.assertTrue(self.full.commits("abc", ()))
        self.assertFalse(self.full.commits("ab", ()))
        self.assertTrue(self.full.elects("abc", ()))

    def test_a_small_group_commits_what_can_not_be_lost_with_all_its_copies(self) -> None:
        self.assertFalse(self.small.commits("ab", ()))
        self.assertTrue(self.small.commits("abc", ()))
        self.assertTrue(self.small.commits("ab", "c"))

    def test_those_that_are_left_elect_a_leader(self) -> None:
        self.assertFalse(self.small.elects("a", "b"))
        self.assertTrue(self.small.elects("a", "bc"))
        self.assertTrue(self.small.elects("ab", ()))

    def test_nobody_is_elected_by_fewer_after_a_loss_that_is_not_tolerated(self) -> None:
        # An entry that was committed may be gone: no leader, instead of one without it.
        group = Quorum(_members(dict.fromkeys("abc", "dc1")), Tolerance(1))
        self.assertFalse(group.elects("a", "bc"))
        self.assertFalse(self.full.elects("ab", "cde"))

    def test_indexes_and_answers_follow_the_same_rule(self) -> None:
        match = {"a": 9, "b": 9, "c": 4}
        self.assertEqual(self.small.commit_index(match, ()), 4)
        self.assertEqual(self.small.commit_index(match, "c"), 9)
        self.assertEqual(self.full.commit_index({"a": 9, "b": 8, "c": 7, "d": 1}, ()), 7)
        answered = {"a": 50, "b": 10, "c": 20}
        self.assertEqual(self.small.answered_ms(answered, (), -1), 20)
        self.assertEqual(self.small.answered_ms(answered, "bc", -1), 50)


if __name__ == "__main__":
    unittest.main()
