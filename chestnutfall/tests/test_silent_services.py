"""Silence of many upstreams at once, and of upstreams that ended."""

from __future__ import annotations

from ..clock import ManualClock
from ..control.crash_messages import BrokenRun
from ..forwarding.upstream_api import AnswerLost
from .fakes.fake_upstreams import RecordedReply
from .fakes.forwarder_case import event
from .fakes.silence_case import SILENT_MS, SilenceCase
from .fakes.silence_scripts import (
    EVENTS,
    HUNG,
    RESUMABLE,
    SOUND,
)
from .fakes.timed_upstreams import HANG


class _SlowReply(RecordedReply):
    """A client that takes a second to read each part of its answer."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock

    async def write(self, data: bytes) -> None:
        await self._clock.sleep_ms(1_000)
        await super().write(data)


class SilentEndTest(SilenceCase):
    # Guards against a request that counts as the end of engines, since one was silent as it ran.
    async def test_a_silent_second_is_not_reported_as_an_end(self) -> None:
        for script in (HUNG, (50, event(1), HANG)):
            self._begin(script, SOUND)
            await self._serve(RESUMABLE)
            self.assertEqual((len(self.upstreams.sends), self.reports), (2, []))

    # Guards against a crash ledger that does not learn of an engine that fell dark.
    async def test_an_engine_that_fell_dark_is_reported(self) -> None:
        self._begin(HUNG, SOUND)
        self.ended_addresses = {"127.0.0.1:1"}
        await self._serve(RESUMABLE)
        (report,) = self.reports
        assert isinstance(report, BrokenRun)
        self.assertEqual((report.instance, report.refuses), ("i0", True))

    # Guards against the same where another engine starts at the address a little later.
    async def test_an_engine_that_is_replaced_after_its_silence_is_reported(self) -> None:
        self._begin(HUNG, SOUND)
        await self._serve(RESUMABLE, for_ms=2_000)
        self.quarantine.note_replaced("127.0.0.1:1", "i9")
        (report,) = self.reports
        assert isinstance(report, BrokenRun)
        self.assertEqual((report.instance, report.refuses), ("i0", True))

    # Guards against a prompt that ends the next engine before the leader knows what it ended.
    async def test_a_prompt_whose_engine_fell_dark_needs_a_leader(self) -> None:
        self.parts = ("p1", "p2")
        self.ended_addresses = {"127.0.0.1:1"}
        self._begin(HUNG, SOUND)
        await self._serve(RESUMABLE)
        self.assertEqual([one.needs_leader for one in self.selector.criteria], [False, True])
        self.assertTrue(self.reports)

    # Guards against a call that fails, and a break that nobody reports, as the search of another
    # call ends.
    async def test_a_search_that_ends_leaves_the_port_check_to_others(self) -> None:
        self.parts = ("p1", "p2")
        self._begin(HUNG, SOUND)
        self.upstreams.scripts["i0"] = [
            (50, event(1), SILENT_MS + 50, event(2), event(3)),
            (180, AnswerLost),
        ]
        self.check_ms = 150
        searching, _ = self._call(RESUMABLE, "searching")
        await self.clock.advance(200)
        other, _ = self._call(RESUMABLE, "other")
        await self.clock.advance(3_000)
        for reply in (searching, other):
            self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        broken = [one for one in self.reports if isinstance(one, BrokenRun)]
        told = [(one.instance, one.refuses, one.is_checked) for one in broken]
        self.assertEqual(told, [("i0", False, False), ("i0", False, True)])

    # Guards against an engine that ended, of which nobody tells since its answer went on.
    async def test_an_end_that_a_search_found_is_reported_though_the_search_ends(self) -> None:
        self.parts = ("p1", "p2")
        self.ended_addresses = {"127.0.0.1:1"}
        self.check_ms = 20
        self._begin((50, event(1), SILENT_MS + 30, event(2), event(3)), SOUND)
        reply = await self._serve(RESUMABLE)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        broken = [one for one in self.reports if isinstance(one, BrokenRun)]
        self.assertEqual([(one.instance, one.refuses) for one in broken], [("i0", True)])


class ManySilentTest(SilenceCase):
    """Many calls at once, each of which begins at the next upstream."""

    async def _serve_many(self, calls: int, every_ms: int) -> list[RecordedReply]:
        self.selector.is_spread = True
        replies = []
        for number in range(calls):
            replies.append(self._call(RESUMABLE, f"id-{number}")[0])
            await self.clock.advance(every_ms)
        await self.clock.advance(5_000)
        return replies

    def _assert_whole(self, replies: list[RecordedReply]) -> None:
        for reply in replies:
            self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))

    # Guards against a silent second of a whole service that spends its budget of repeats.
    async def test_a_second_in_which_all_are_silent_costs_next_to_no_repeat(self) -> None:
        self._begin(*[SOUND] * 5)
        self.upstreams.pauses = {f"i{at}": (500, 2_000) for at in range(5)}
        self._assert_whole(await self._serve_many(200, 10))
        self.assertLessEqual(len(self.upstreams.sends), 200 + 2)

    # Guards against sixty silent upstreams of a hundred that use the whole budget.
    async def test_sixty_silent_of_a_hundred_cost_next_to_no_repeat(self) -> None:
        self._begin(*[SOUND] * 100)
        self.upstreams.pauses = {f"i{at}": (500, 2_000) for at in range(100) if at % 5 < 3}
        self._assert_whole(await self._serve_many(500, 4))
        self.assertLessEqual(len(self.upstreams.sends), 500 + 8)

    # Guards against hung upstreams that hold their calls while clients of others read slowly.
    async def test_a_hung_upstream_is_left_as_quickly_beside_slow_clients(self) -> None:
        self._begin(HUNG, SOUND, SOUND)
        self.selector.is_spread = True
        self.selector.upstreams.append(self.selector.upstreams.pop(0))
        slow = [self._call(RESUMABLE, f"slow-{at}", _SlowReply(self.clock))[0] for at in range(2)]
        await self.clock.advance(400)
        reply, _ = self._call(RESUMABLE, "hung")
        await self.clock.advance(SILENT_MS + 100)
        self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"))
        await self.clock.advance(5_000)
        self._assert_whole(slow)

    # Guards against hung upstreams that hold their calls, as the others are not known to be well.
    async def test_one_hung_of_five_is_left_as_quickly_as_before(self) -> None:
        self._begin(HUNG, SOUND, SOUND, SOUND, SOUND)
        self.selector.is_spread = True
        for number in range(50):
            reply, _ = self._call(RESUMABLE, f"id-{number}")
            await self.clock.advance(SILENT_MS + 100)
            self.assertEqual((reply.body, reply.ended), (EVENTS, "whole"), number)
            self.assertGreater(self._repeats_left(), 0)
            self.setUp()
            self._begin(HUNG, SOUND, SOUND, SOUND, SOUND)

    # Guards against the same under load, where calls to several upstreams wait at any time.
    async def test_one_hung_of_five_is_left_as_quickly_under_load(self) -> None:
        slow = (150, event(1), 20, event(2), 20, event(3))
        self._begin(HUNG, slow, slow, slow, slow)
        replies = await self._serve_many(100, 20)
        self._assert_whole(replies)
        moved = [one for one in self.upstreams.sends if one.instance != "i0"]
        hung = self.upstreams.to("i0")
        for one in hung:
            second = next(two for two in moved if two.call == one.call)
            self.assertLessEqual(second.at_ms - one.at_ms, SILENT_MS + 100)

    # Guards against a majority that hangs for good and holds its calls to their deadlines.
    async def test_calls_leave_a_majority_that_hangs_for_good(self) -> None:
        self.attempts = 4
        self._begin(HUNG, HUNG, HUNG, SOUND, SOUND)
        self._assert_whole(await self._serve_many(60, 50))
