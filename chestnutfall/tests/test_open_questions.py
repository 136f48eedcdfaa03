"""Prompt parts in question while it is not known whether their engines ended."""

from __future__ import annotations

import unittest

from ..placement.open_questions import MAX_QUESTIONS, OpenQuestions


class OpenQuestionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.questions = OpenQuestions()

    # Guards against a part that is sent on since one of two engines that ran it lives.
    def test_a_part_is_in_question_until_each_of_its_engines_is_known_of(self) -> None:
        self.questions.ask(["a", "b"], "i1", 0, 1_000)
        self.questions.ask(["a"], "i2", 0, 1_000)
        self.questions.settle(["a", "b", "x"], "i1")
        self.assertTrue(self.questions.includes_any(["x", "a"]))
        self.assertFalse(self.questions.includes_any(["b"]))
        self.questions.settle(["a"], "i2")
        self.assertEqual(len(self.questions), 0)

    def test_an_answer_settles_a_part_for_all_engines(self) -> None:
        for instance in ("i1", "i2"):
            self.questions.ask(["a", "b"], instance, 0, 1_000)
        self.questions.clear(["a", "x"])
        self.assertFalse(self.questions.includes_any(["a"]))
        self.assertTrue(self.questions.includes_any(["b"]))

    # Guards against parts that no request may have any more.
    def test_questions_that_stay_open_end_in_time(self) -> None:
        self.questions.ask(["a"], "i1", 0, 1_000)
        self.questions.ask(["a", "b"], "i2", 500, 1_500)
        self.assertEqual(list(self.questions.take_old(999)), [])
        self.assertEqual(list(self.questions.take_old(1_000)), [("a", "i1")])
        self.assertTrue(self.questions.includes_any(["a"]))
        self.assertEqual(list(self.questions.take_old(1_500)), [("a", "i2"), ("b", "i2")])
        self.assertEqual(len(self.questions), 0)

    # Guards against a question that never ends, as one that ends earlier was asked after it.
    def test_questions_end_in_any_order(self) -> None:
        self.questions.ask(["a"], "i1", 0, 1_500)
        self.questions.ask(["b"], "i2", 0, 1_000)
        self.questions.ask(["c"], "i3", 0, 2_000)
        for now_ms, part in ((1_000, "b"), (1_500, "a"), (2_000, "c")):
            self.assertEqual(list(self.questions.take_old(now_ms - 1)), [])
            self.assertEqual([one for one, _ in self.questions.take_old(now_ms)], [part])

    def test_those_that_were_asked_long_ago_are_lasting(self) -> None:
        self.questions.ask(["a"], "i1", 100, 1_000)
        self.questions.ask(["a", "b"], "i2", 200, 1_000)
        self.assertEqual(self.questions.lasting(100), ("a",))
        self.assertEqual(set(self.questions.lasting(200)), {"a", "b"})

    def test_questions_are_bounded(self) -> None:
        self.questions.ask((f"p{at}" for at in range(MAX_QUESTIONS + 1)), "i1", 0, 1_000)
        self.assertEqual(len(self.questions), MAX_QUESTIONS)
        self.assertFalse(self.questions.includes_any(["p0"]))
