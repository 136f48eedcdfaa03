"""The timeout for orders to an engine that leaves some of them unanswered.

If each missing answer lengthened the timeout in full, the orders of that engine would come to a
standstill, and callers would wait for loads that are never ordered.
"""

from __future__ import annotations

import unittest

from ..coordination.answer_timer import MIN_TIMEOUT_MS, TIMEOUT_FACTOR, AnswerTimer

USUAL_MS = 5.0


class AnswerTimerTest(unittest.TestCase):
    def test_lost_answers_hardly_lengthen_the_timeout(self) -> None:
        for lost_of_ten in (3, 5):
            with self.subTest(lost_of_ten):
                timer = AnswerTimer()
                for at in range(200):
                    if at % 10 < lost_of_ten:
                        timer.unanswered()
                    else:
                        timer.answered(USUAL_MS)
                self.assertLess(timer.timeout_ms, 3 * TIMEOUT_FACTOR * USUAL_MS)

    def test_the_timeout_grows_for_a_slower_engine(self) -> None:
        timer = AnswerTimer()
        for _ in range(50):
            timer.answered(USUAL_MS)
        self.assertEqual(timer.timeout_ms, MIN_TIMEOUT_MS)
        for _ in range(60):
            timer.unanswered()
        self.assertGreater(timer.timeout_ms, 200)
