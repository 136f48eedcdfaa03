"""The leader's rounds must grow with time and decisions, not with messages."""

from __future__ import annotations

import unittest

from ..clock import ManualClock
from ..coordination.round_pace import MAX_PAUSE_MS, MIN_PAUSE_MS, RoundPace

SECOND_MS = 1_000


class RoundPaceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.pace = RoundPace(self.clock)

    def _run_round(self, took_ms: int = 0) -> None:
        self.pace.begin()
        self.clock._now_ms += took_ms
        self.pace.end()

    def test_a_message_after_a_quiet_time_is_decided_at_once(self) -> None:
        """A pause that each message began anew would delay every lone request."""
        self._run_round()
        self.clock._now_ms += MIN_PAUSE_MS
        self.assertEqual(self.pace.pause_ms(), 0)

    def test_messages_of_every_millisecond_share_their_rounds(self) -> None:
        """A round for each message took half of a core of a leader with 80 gateways."""
        rounds = longest_ms = waits_ms = 0
        for _ in range(SECOND_MS):
            if self.pace.pause_ms():
                waits_ms += 1
            else:
                self._run_round()
                rounds, waits_ms = rounds + 1, 0
            longest_ms = max(longest_ms, waits_ms)
            self.clock._now_ms += 1
        self.assertEqual(rounds, SECOND_MS // MIN_PAUSE_MS)
        self.assertLess(longest_ms, MIN_PAUSE_MS)

    def test_slow_rounds_leave_half_of_the_time_to_messages(self) -> None:
        """Rounds without a pause keep the messages from being read that they would decide on."""
        self._run_round(took_ms=2 * MIN_PAUSE_MS)
        self.assertEqual(self.pace.pause_ms(), 2 * MIN_PAUSE_MS)
        self._run_round(took_ms=SECOND_MS)
        self.assertEqual(self.pace.pause_ms(), MAX_PAUSE_MS)
