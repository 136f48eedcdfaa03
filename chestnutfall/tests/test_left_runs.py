"""What a begun stream is left with, whose sound upstream is silent for longer than the overlap.

Guards against a run that is let go before it is known that something better is to be had.
"""

from __future__ import annotations

from ..forwarding.call_sends import OVERLAP_MS
from ..forwarding.progress import MAX_SENDS
from ..forwarding.silent_upstreams import LASTING_MS
from ..forwarding.upstream_answer import NotRun
from ..forwarding.upstream_api import AnswerLost, NotSent
from ..placement import RunOutcome
from .fakes.fake_upstreams import RecordedReply
from .fakes.forwarder_case import event
from .fakes.silence_case import SILENT_MS, TIMEOUT_MS, SilenceCase
from .fakes.silence_scripts import EVENTS, HUNG, RESUMABLE, SOUND
from .fakes.timed_upstreams import HANG, Head, Status, Step

PAUSE_MS = 1_200
PAUSES: tuple[Step, ...] = (50, event(1), PAUSE_MS, event(2), event(3))
"""A sound upstream that is silent once for longer than the overlap."""
SECOND_MS = 50 + SILENT_MS
"""When the second send goes out."""
LEFT_MS = SECOND_MS + OVERLAP_MS
"""When the first run is left, if it is."""
ENDS = (NotRun.FULL, NotSent, AnswerLost, Status(500), ValueError)
NO_EVENTS = (HUNG, (50, Head(), HANG), *((400, end) for end in ENDS))
"""Upstreams that write no event, and end after the overlap or never."""
CADENCE_MS = 100


def _pauses_at(pause_at_ms: int, pause_ms: int) -> tuple[tuple[Step, ...], int]:
    """Return a sound upstream that is silent once from this time on, and its last event."""
    steps: list[Step] = []
    last = pause_at_ms // CADENCE_MS
    for number in range(1, last + 1):
        steps += [CADENCE_MS, event(number)]
    return (*steps, pause_ms, event(last + 1), event(last + 2)), last + 2


class LeftRunTest(SilenceCase):
    async def _serve_drained(self, from_ms: int) -> RecordedReply:
        """Serve a call beside others that use up the budget from this time on."""
        reply, served = self._call(RESUMABLE)
        await self.clock.advance(from_ms)
        self._repeats_left()
        await self.clock.advance(TIMEOUT_MS)
        self.assertTrue(served.done())
        self.assertEqual(self.selector.open_places, 0)
        return reply

    # Guards against a stream that is broken off, as others took the repeat to go back to its sound
    # upstream: the second one refuses, fails, is not reached or hangs.
    async def test_a_sound_run_goes_on_where_no_repeat_is_left_to_go_back_to_it(self) -> None:
        for second in NO_EVENTS:
            with self.subTest(second=second):
                self.setUp()
                self._begin(PAUSES, second)
                reply = await self._serve_drained(SECOND_MS + 10)
                self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
                first, other = self.upstreams.sends
                self.assertTrue(first.is_whole)
                self.assertEqual((other.instance, other.ended_ms), ("i1", LEFT_MS))
                if (other.instance, second) == ("i1", HUNG):
                    self.assertIn("sends_withdrawn_total 1", self.metrics.text())
                    self.assertNotIn("sends_overtaken_total", self.metrics.text())
                # A silence no longer than the overlap is no failure.
                self.assertEqual(self.selector.outcomes["i1"], [RunOutcome.LEFT])

    # Guards against the same where others take the repeats once the run was left, and against a
    # repeat for the way back that is spent on one more upstream, which fails too.
    async def test_a_repeat_is_kept_for_the_way_back(self) -> None:
        for second in NO_EVENTS:
            for others in ((second,), (second, (20, AnswerLost))):
                with self.subTest(second=second, others=len(others)):
                    self.setUp()
                    self._begin(PAUSES, *others)
                    reply = await self._serve_drained(LEFT_MS + 10)
                    self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
                    sends = self.upstreams.sends
                    # The repeat of a send that finds no connection is there for one more upstream.
                    is_tried = len(others) > 1 and NotSent in second
                    tried = ["i0", "i1", "i2", "i0"] if is_tried else ["i0", "i1", "i0"]
                    self.assertEqual([one.instance for one in sends], tried)
                    self.assertEqual(sends[-1].resume_after, 1)

    # Guards against a repeat that is kept, and keeps others from theirs, though it has no use.
    async def test_a_repeat_for_the_way_back_is_given_back(self) -> None:
        speaks: tuple[Step, ...] = (500, event(2), 500, event(3))
        for second, leaves_ms, at_ms, taken in (
            (speaks, 0, LEFT_MS, 2),
            (speaks, 0, SECOND_MS + 500, 1),
            (HUNG, LEFT_MS + 10, LEFT_MS + 20, 1),
            (HUNG, 0, LEFT_MS + 20, 2),
        ):
            with self.subTest(second=second, leaves_ms=leaves_ms, at_ms=at_ms):
                self.setUp()
                self._begin(PAUSES)
                left = self._repeats_left()
                self._begin((50, event(1), HANG), second)
                _, served = self._call(RESUMABLE)
                await self.clock.advance(leaves_ms)
                if leaves_ms:
                    served.cancel()
                await self.clock.advance(at_ms - leaves_ms)
                self.assertEqual(self._repeats_left(), left - taken)

    # Guards against a repeat that is returned after it has left the window by itself.
    async def test_a_repeat_that_is_kept_for_longer_than_the_window_is_not_returned(self) -> None:
        self._begin(SOUND)
        await self.clock.advance(20_000)
        for age_ms, unsent in ((10_000, 0), (9_999, 1)):
            self.repeats.refund_kept("s", self.clock.now_ms() - age_ms)
            self.assertEqual(self.repeats.unsent("s"), unsent)

    # Guards against a stream that is broken off at its deadline, as it was left within 2 s of it
    # for an upstream that hangs, which only 2 s of silence would show.
    async def test_a_sound_run_goes_on_where_no_time_is_left_to_go_back_to_it(self) -> None:
        for pause_ms in (SILENT_MS + OVERLAP_MS + 10, 800):
            for second in (HUNG, (50, Head(), HANG)):
                with self.subTest(pause_ms=pause_ms, second=second):
                    self.setUp()
                    sound, last = _pauses_at(7_000, pause_ms)
                    self._begin(sound, second)
                    reply = await self._serve(RESUMABLE)
                    self.assertEqual(reply.ended, "whole")
                    self.assertEqual(reply.body, b"".join(map(event, range(1, last + 1))))
                    first, other = self.upstreams.sends
                    self.assertTrue(first.is_whole)
                    self.assertEqual(other.ended_ms, other.at_ms + OVERLAP_MS)

    # Guards against a stream that stays at a hung upstream for longer than it takes to know, and
    # against one that is sent to and fro meanwhile.
    async def test_a_run_that_hangs_is_left_without_a_way_back(self) -> None:
        self._begin((50, event(1), HANG), (400, event(2), event(3)))
        reply, _ = self._call(RESUMABLE)
        await self.clock.advance(SECOND_MS + 10)
        self._repeats_left()
        await self.clock.advance(OVERLAP_MS)
        # Another call returned one.
        self.repeats.refund("s")
        await self.clock.advance(900)
        self.assertEqual(len(self.upstreams.sends), 2)
        self.repeats.refund("s")
        await self.clock.advance(TIMEOUT_MS)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        first, _, again = self.upstreams.sends
        self.assertEqual((again.at_ms, first.ended_ms), (50 + LASTING_MS, again.at_ms + OVERLAP_MS))

    # Guards against a stream that goes from one slow upstream to the next, each of which is left
    # shortly before it would have begun.
    async def test_a_stream_of_slow_upstreams_moves_once(self) -> None:
        for is_taken_up in (False, True):
            for begins_ms in (700, 1_000, 1_500, 1_800):
                with self.subTest(is_taken_up=is_taken_up, begins_ms=begins_ms):
                    self.setUp()
                    self.resume_after = 1 if is_taken_up else None
                    slow: tuple[Step, ...] = (begins_ms, event(2), event(3))
                    first: tuple[Step, ...] = slow if is_taken_up else (50, event(1), *slow)
                    self._begin(first, slow, slow, slow)
                    reply, _ = self._call(RESUMABLE)
                    second_ms = SILENT_MS if is_taken_up else SECOND_MS
                    await self.clock.advance(second_ms + begins_ms)
                    self.assertEqual(reply.ended, "whole")
                    sends = self.upstreams.sends
                    self.assertEqual([one.is_whole for one in sends], [False, True, False])

    # Guards against a stream that waits at a second hung upstream while a third one is sound.
    async def test_a_second_hung_upstream_is_left_as_quickly_for_one_that_begins(self) -> None:
        self._begin((50, event(1), HANG), HUNG, (OVERLAP_MS - 10, event(2), event(3)))
        reply = await self._serve(RESUMABLE)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        third = self.upstreams.sends[2]
        # The call may look again 250 ms after its last search, and checks each 100 ms.
        self.assertEqual((third.instance, third.at_ms), ("i2", SECOND_MS + SILENT_MS + 100))
        self.assertEqual(third.ended_ms, third.at_ms + OVERLAP_MS - 10)

    # Guards against a way back that is lost with the last send of the call.
    async def test_the_last_send_goes_back(self) -> None:
        self.attempts = 10
        self._begin(PAUSES, *[(400, NotRun.FULL)] * (MAX_SENDS + 1))
        reply = await self._serve(RESUMABLE)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        sends = self.upstreams.sends
        self.assertLessEqual(len(sends), MAX_SENDS)
        self.assertEqual(sends[-1].instance, "i0")

    # Guards against a repeat that is lost with a send of which nothing went out.
    async def test_a_send_that_finds_no_connection_costs_no_repeat(self) -> None:
        self._begin(PAUSES)
        left = self._repeats_left()
        self._begin(PAUSES, (450, NotSent))
        reply = await self._serve(RESUMABLE, for_ms=SECOND_MS + 450 + 50 + PAUSE_MS + 10)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        self.assertEqual([one.instance for one in self.upstreams.sends], ["i0", "i1", "i0"])
        self.assertEqual(self._repeats_left() + self.repeats.unsent("s"), left - 1)
