"""Streams whose sound upstream was left for one that then fails, hangs or refuses.

Guards against a client whose stream is broken off while the engine that began it would go on.
"""

from __future__ import annotations

import itertools

from ..forwarding.call_sends import OVERLAP_MS
from ..forwarding.overtaken_upstreams import NO_ATTEMPT
from ..forwarding.progress import MAX_SENDS, Progress
from ..forwarding.silent_upstreams import LASTING_MS
from ..forwarding.upstream_answer import NotRun
from ..forwarding.upstream_api import AnswerLost, NotSent
from .fakes.forwarder_case import event
from .fakes.silence_case import SILENT_MS, SilenceCase
from .fakes.silence_scripts import EVENTS, HUNG, RESUMABLE, SOUND
from .fakes.timed_upstreams import HANG, Head, Status, Step

PAUSES = (50, event(1), 1_200, event(2), event(3))
"""A sound upstream that is silent once for longer than the overlap."""
SECOND_MS = 50 + SILENT_MS
"""When the second send goes out."""
ENDS = (
    *(NotRun.FULL, NotRun.REPLACED, NotSent),
    *(AnswerLost, Status(500), Status(404), ValueError),
)


class OvertakenRunTest(SilenceCase):
    async def _assert_whole(self, *instances: str) -> None:
        """Serve a call, and make sure that its stream is whole and these upstreams got it."""
        reply = await self._serve(RESUMABLE)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        sends = self.upstreams.sends
        self.assertEqual([one.instance for one in sends], list(instances))
        self.assertEqual(self.selector.open_places, 0)
        self._assert_overlap()

    def _assert_overlap(self) -> None:
        for first, second in itertools.pairwise(self.upstreams.sends):
            assert first.ended_ms is not None
            self.assertLessEqual(first.ended_ms, second.at_ms + OVERLAP_MS)

    async def test_a_stream_is_taken_up_again_where_the_second_upstream_fails(self) -> None:
        for end in ENDS:
            with self.subTest(end=end):
                self.setUp()
                self._begin(PAUSES, (400, end))
                await self._assert_whole("i0", "i1", "i0")
                again = self.upstreams.sends[-1]
                self.assertEqual((again.at_ms, again.resume_after), (SECOND_MS + 400, 1))

    async def test_a_stream_is_taken_up_again_where_the_second_upstream_lacks_the_adapter(
        self,
    ) -> None:
        self._begin(PAUSES, (400, NotRun.ABSENT))
        await self._assert_whole("i0", "i1", "i1", "i0")

    async def test_a_stream_is_taken_up_again_where_the_second_upstream_hangs(self) -> None:
        for second in (HUNG, (20, Head(), HANG)):
            with self.subTest(second=second):
                self.setUp()
                self._begin(PAUSES, second)
                await self._assert_whole("i0", "i1", "i0")
                again = self.upstreams.sends[-1]
                self.assertEqual(again.resume_after, 1)
                self.assertLessEqual(again.at_ms, SECOND_MS + 20 + LASTING_MS + SILENT_MS)

    # Guards against a second upstream whose refusal ends the stream, as it says that there is none
    # but the first one.
    async def test_the_only_other_upstream_may_be_full(self) -> None:
        self._begin(PAUSES, (400, NotRun.FULL))
        self.selector.on_found = lambda: setattr(self.selector, "has_others", False)
        await self._assert_whole("i0", "i1", "i0")

    # Guards against an upstream that failed the call and is preferred to one that was only slow.
    async def test_an_upstream_that_failed_is_not_preferred_to_one_that_was_left(self) -> None:
        self._begin(PAUSES, (400, AnswerLost))
        failed = self.selector.upstreams[1]
        self.selector.forced = lambda criteria: (
            failed if len(self.upstreams.sends) == 2 and not criteria.only else None
        )
        await self._assert_whole("i0", "i1", "i0")

    # Guards against an upstream beyond the attempts, and against a stream that ends with them
    # though an upstream that counts already would go on.
    async def test_the_attempts_bound_the_upstreams_and_not_the_sends(self) -> None:
        lost: tuple[Step, ...] = (400, AnswerLost)
        for attempts, tried in ((2, ("i0", "i1", "i0")), (3, ("i0", "i1", "i2"))):
            with self.subTest(attempts=attempts):
                self.setUp()
                self.attempts = attempts
                self._begin(PAUSES, lost, SOUND)
                await self._assert_whole(*tried)

    # Guards against a run that gave nothing, was left, and used up the attempt of the rest.
    async def test_a_stream_goes_on_at_an_upstream_that_was_left_as_another_spoke(self) -> None:
        self.attempts = 2
        speaks: tuple[Step, ...] = (50, event(1), 400, event(2), 30, AnswerLost)
        self._begin(speaks, (200, *SOUND), SOUND)
        await self._assert_whole("i0", "i1", "i1")
        self.assertEqual(self.upstreams.sends[-1].resume_after, 2)

    # Guards against a leader that takes what is to be avoided for a wish.
    async def test_a_place_beyond_the_attempts_is_given_back(self) -> None:
        self.attempts = 2
        self._begin(PAUSES, (400, AnswerLost), SOUND)
        third = self.selector.upstreams[2]
        self.selector.forced = lambda criteria: third if criteria.only else None
        reply = await self._serve(RESUMABLE)
        self.assertEqual((reply.ended, reply.reason), ("broken off", NO_ATTEMPT))
        self.assertEqual((self.upstreams.to("i2"), self.selector.open_places), ([], 0))

    # Guards against two engines that work on one stream though the second one goes on with it, and
    # against a run that is left for a head, behind which nothing may come.
    async def test_a_run_ends_with_an_event_of_the_next_upstream_and_not_with_its_head(
        self,
    ) -> None:
        for event_ms in (150, 250):
            with self.subTest(event_ms=event_ms):
                self.setUp()
                self._begin((50, event(1), HANG), (100, Head(), event_ms - 100, event(2), event(3)))
                await self._assert_whole("i0", "i1")
                self.assertEqual(self.upstreams.sends[0].ended_ms, SECOND_MS + event_ms)

    # Guards against a sound run that is left for an upstream which writes a head and hangs.
    async def test_a_run_that_speaks_behind_the_head_of_the_next_upstream_goes_on(self) -> None:
        self._begin((50, event(1), SILENT_MS + 200, event(2), event(3)), (50, Head(), HANG))
        await self._assert_whole("i0", "i1")
        self.assertTrue(self.upstreams.sends[0].is_whole)

    # Guards against a stream that goes to and fro between upstreams that hang.
    async def test_a_stream_whose_upstreams_all_hang_is_sent_a_few_times(self) -> None:
        for attempts in (2, 10):
            self.setUp()
            self.attempts = attempts
            self._begin((50, event(1), HANG), HUNG)
            reply = await self._serve(RESUMABLE)
            self.assertEqual((reply.body, reply.ended), (event(1), "broken off"))
            sends = self.upstreams.sends
            self.assertLessEqual(len(sends), MAX_SENDS)
            for second, again in itertools.pairwise(sends[1:]):
                self.assertGreaterEqual(again.at_ms - second.at_ms, LASTING_MS)
            self._assert_overlap()

    # Guards against sends to an upstream that was overtaken which cost no repeat.
    async def test_to_go_back_costs_a_repeat(self) -> None:
        self._begin(PAUSES, (400, AnswerLost))
        left = self._repeats_left()
        self._begin(PAUSES, (400, AnswerLost))
        await self._assert_whole("i0", "i1", "i0")
        self.assertEqual(self._repeats_left(), left - 2)

    async def test_an_upstream_counts_once_however_often_it_is_overtaken(self) -> None:
        progress = Progress(self._new_call(RESUMABLE), 0, "s")
        for _ in range(3):
            progress.note_overtaken("i0")
            self.assertEqual((progress.attempts, progress.overtaken), (1, ["i0"]))
        progress.note_run("i0")
        self.assertEqual((progress.attempts, progress.runs, progress.overtaken), (1, 4, []))
        progress.note_run("i0")
        self.assertEqual(progress.attempts, 2)
        progress.note_overtaken("i1")
        progress.note_refusal("i1", False)
        self.assertEqual((progress.avoid, progress.overtaken), (["i1"], []))
