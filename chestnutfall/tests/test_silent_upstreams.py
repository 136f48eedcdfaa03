"""Whether a silence is that of one upstream, of a service or of the gateway, without a network."""

from __future__ import annotations

import random
import unittest

from ..clock import ManualClock
from ..forwarding.repeats import SILENCE_SHARE, Repeats
from ..forwarding.reply_lock import ReplyLock, ReplyTaken
from ..forwarding.silent_upstreams import (
    GATEWAY_SILENT,
    LASTING_MS,
    MAX_IDLE,
    REMEMBERED_MS,
    SERVICE_RESUMES,
    SERVICE_SILENT,
    VERDICT_MS,
    SilentUpstreams,
    lasting_ms,
)
from ..settings.repeat_bounds import RepeatBounds
from .fakes.long_ago import LONG_AGO_MS

USUAL_MS = 300


class SilentUpstreamsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.silent = SilentUpstreams(self.clock)

    async def _begin(self, *instances: str, service: str = "s") -> None:
        for instance in instances:
            self.silent.began(service, instance, USUAL_MS)

    async def _answer(self, *instances: str, service: str = "s") -> None:
        await self._begin(*instances, service=service)
        self._hear(*instances)
        for instance in instances:
            self.silent.ended(instance, USUAL_MS, was_silent=False)
            self.silent.answered(instance, whole=True)

    def _hear(self, *instances: str) -> None:
        for instance in instances:
            self.silent.heard(instance)

    def _reason(self, *instances: str, silent_ms: float = USUAL_MS) -> str:
        return self.silent.reason_to_wait("s", instances or ("i0",), silent_ms, USUAL_MS)

    async def test_a_call_leaves_the_one_upstream_that_is_silent(self) -> None:
        await self._begin("i0", "i1", "i2")
        await self.clock.advance(USUAL_MS)
        self._hear("i1", "i2")
        self.assertEqual(self._reason(), "")

    async def test_a_call_leaves_the_only_upstream_that_it_knows(self) -> None:
        await self._begin("i0")
        await self.clock.advance(USUAL_MS)
        self.assertEqual(self._reason(), "")

    # Guards against a send for each call while the whole service is silent.
    async def test_no_call_leaves_a_service_that_is_silent(self) -> None:
        await self._begin("i0", "i1")
        await self.clock.advance(USUAL_MS)
        self.assertEqual(self._reason(), SERVICE_SILENT)

    # Guards against a new send that counts as silent since the last part of an earlier answer.
    async def test_a_part_that_comes_after_a_send_has_ended_begins_no_silence(self) -> None:
        await self._begin("i1")
        self._hear("i1")
        self.silent.ended("i1", USUAL_MS, was_silent=False)
        self._hear("i1")
        await self._begin("i0")
        await self.clock.advance(USUAL_MS)
        await self._begin("i1")
        self.assertEqual(self._reason(), "")

    async def test_no_call_leaves_while_more_upstreams_are_silent_than_speak(self) -> None:
        await self._begin("i0", "i1", "i2", "i3", "i4")
        await self.clock.advance(USUAL_MS)
        self._hear("i3", "i4")
        self.assertEqual(self._reason(), SERVICE_SILENT)
        await self.clock.advance(VERDICT_MS)
        self._hear("i2")
        self.assertEqual(self._reason(), "")

    # Guards against calls that stay at two silent upstreams since the callers of all others wait
    # behind these too, so that the sound ones have nothing to write.
    async def test_sound_upstreams_without_sends_are_not_silent(self) -> None:
        await self._answer("i2", "i3")
        await self._begin("i0", "i1")
        await self.clock.advance(LASTING_MS / 2)
        self.assertEqual(self._reason(silent_ms=LASTING_MS / 2), "")

    async def test_more_silent_upstreams_than_sound_ones_are_a_silent_service(self) -> None:
        await self._answer("i2", "i3")
        await self._begin("i0", "i1", "i4")
        await self.clock.advance(LASTING_MS / 2)
        await self._answer("another", service="t")
        self.assertEqual(self._reason(silent_ms=LASTING_MS / 2), SERVICE_SILENT)

    async def test_an_upstream_that_was_left_for_its_silence_is_not_sound(self) -> None:
        await self._answer("i2", "i3")
        await self._begin("i2")
        await self.clock.advance(USUAL_MS)
        self.silent.ended("i2", USUAL_MS, was_silent=True)
        await self._begin("i0", "i1")
        await self.clock.advance(LASTING_MS / 2)
        self.assertEqual(self._reason(silent_ms=LASTING_MS / 2), SERVICE_SILENT)

    async def test_an_upstream_whose_answer_was_lost_is_not_sound(self) -> None:
        await self._answer("i2", "i3")
        self.silent.answered("i2", whole=False)
        await self._begin("i0", "i1")
        await self.clock.advance(LASTING_MS / 2)
        self.assertEqual(self._reason(silent_ms=LASTING_MS / 2), SERVICE_SILENT)

    # Guards against streams that pause in the middle and count as whole.
    async def test_an_upstream_in_the_middle_of_its_answer_is_not_sound(self) -> None:
        await self._answer("i3")
        await self._begin("i2")
        self._hear("i2")
        self.silent.ended("i2", USUAL_MS, was_silent=False)
        await self._begin("i0", "i1")
        await self.clock.advance(LASTING_MS / 2)
        self.assertEqual(self._reason(silent_ms=LASTING_MS / 2), SERVICE_SILENT)

    async def test_what_was_heard_long_ago_tells_nothing(self) -> None:
        await self._answer("i2", "i3")
        await self.clock.advance(REMEMBERED_MS)
        await self._begin("i0", "i1")
        await self.clock.advance(LASTING_MS / 2)
        self.assertEqual(self._reason(silent_ms=LASTING_MS / 2), SERVICE_SILENT)

    async def test_other_services_are_no_sound_upstreams_of_this_one(self) -> None:
        await self._answer("i2", "i3", service="t")
        await self._begin("i0", "i1")
        await self.clock.advance(LASTING_MS / 2)
        self.assertEqual(self._reason(silent_ms=LASTING_MS / 2), SERVICE_SILENT)

    # Guards against calls that are kept by others whose upstreams take their usual time.
    async def test_upstreams_that_are_no_longer_silent_than_usual_tell_nothing(self) -> None:
        await self._begin("i0")
        for number in range(1, 5):
            self.silent.began("s", f"i{number}", 10 * USUAL_MS)
        await self.clock.advance(USUAL_MS)
        self.assertEqual(self._reason(), "")
        await self.clock.advance(4 * USUAL_MS)
        self.assertTrue(self._reason(silent_ms=5 * USUAL_MS))

    # Guards against a call that is kept by two hung upstreams, since it waits for both itself.
    async def test_the_call_s_own_upstreams_tell_nothing_of_the_others(self) -> None:
        await self._begin("i0", "i1")
        await self.clock.advance(USUAL_MS)
        self.assertEqual(self._reason("i0", "i1"), "")

    # Guards against sends to all services while this gateway or its links are silent.
    async def test_no_call_leaves_while_upstreams_of_several_services_are_silent(self) -> None:
        await self._begin("i0")
        await self._begin("o1", service="o")
        await self._begin("p1", service="p")
        await self.clock.advance(USUAL_MS)
        self.assertEqual(self._reason(), GATEWAY_SILENT)
        await self.clock.advance(VERDICT_MS)
        self._hear("o1")
        self.assertEqual(self._reason(), "")

    # Guards against a send for each call as the first upstreams of a silent service speak again.
    async def test_the_end_of_a_common_silence_is_awaited(self) -> None:
        await self._begin("i0", "i1", "i2")
        await self.clock.advance(USUAL_MS)
        while self.clock.now_ms() < 1_000:
            self.assertTrue(self._reason(silent_ms=self.clock.now_ms()))
            await self.clock.advance(50)
        self._hear("i1", "i2")
        self.assertEqual(self._reason(silent_ms=1_000), SERVICE_RESUMES)
        await self.clock.advance(USUAL_MS)
        self._hear("i1", "i2")
        self.assertEqual(self._reason(silent_ms=1_000 + USUAL_MS), "")

    # Guards against calls that are kept by upstreams that hang, however many they are.
    async def test_upstreams_that_hang_keep_no_call_from_leaving(self) -> None:
        await self._begin("i0", "i1", "i2")
        await self.clock.advance(LASTING_MS - 1)
        self.assertTrue(self._reason(silent_ms=LASTING_MS - 1))
        await self.clock.advance(1 + USUAL_MS)
        self.assertEqual(self._reason(silent_ms=LASTING_MS), "")

    # Guards against a second send of each call to upstreams that usually write nothing for longer
    # than others hang, and that are silent together.
    async def test_a_common_silence_of_slow_upstreams_is_awaited(self) -> None:
        for usual_ms in (300, 1_500, 2_000, 3_000, 10_000):
            with self.subTest(usual_ms=usual_ms):
                self.setUp()
                for instance in ("i0", "i1", "i2"):
                    self.silent.began("s", instance, usual_ms)
                await self.clock.advance(usual_ms)
                reason = self.silent.reason_to_wait("s", ["i0"], usual_ms, usual_ms)
                self.assertTrue(reason)
                await self.clock.advance(lasting_ms(usual_ms) - 1 - usual_ms)
                silent_ms = lasting_ms(usual_ms) - 1
                self.assertTrue(self.silent.reason_to_wait("s", ["i0"], silent_ms, usual_ms))
                await self.clock.advance(1 + usual_ms)
                self.assertEqual(self.silent.reason_to_wait("s", ["i0"], silent_ms, usual_ms), "")

    # Guards against a new call at a hung upstream that waits as if it had just fallen silent.
    async def test_the_silence_of_an_upstream_outlasts_its_sends(self) -> None:
        await self._begin("i0", "i1", "i2", "i3")
        await self.clock.advance(LASTING_MS)
        for instance in ("i0", "i1", "i2"):
            self.silent.ended(instance, USUAL_MS, was_silent=True)
        await self._begin("i0", "i1", "i2")
        await self.clock.advance(USUAL_MS)
        self._hear("i3")
        self.assertEqual(self._reason(), "")

    # Guards against an idle upstream that is taken for a hung one by a client that left.
    async def test_a_short_send_leaves_no_silence_behind(self) -> None:
        await self._begin("i1")
        self.silent.ended("i1", USUAL_MS, was_silent=False)
        await self.clock.advance(LASTING_MS)
        await self._begin("i0", "i1")
        await self.clock.advance(USUAL_MS)
        self.assertEqual(self._reason(), SERVICE_SILENT)

    # Guards against memory that grows with each upstream that ever was.
    # Guards against clients that read slowly and make their upstreams look silent.
    async def test_an_upstream_whose_clients_read_tells_nothing(self) -> None:
        await self._begin("i0", "i1", "i2")
        for instance in ("i1", "i2"):
            self.silent.write_begins(instance)
        await self.clock.advance(USUAL_MS)
        self.assertEqual(self._reason(), "")
        for instance in ("i1", "i2"):
            self.silent.write_ends(instance)
        self.assertEqual(self._reason(silent_ms=2 * USUAL_MS), "")
        await self.clock.advance(USUAL_MS)
        self.assertTrue(self._reason())

    # Guards against one slow client that hides the silence which another send meets.
    async def test_a_client_that_reads_hides_no_silence_from_other_sends(self) -> None:
        await self._begin("i0", "i1", "i1")
        self.silent.write_begins("i1")
        await self.clock.advance(USUAL_MS)
        self.assertEqual(self._reason(), SERVICE_SILENT)
        self.silent.write_ends("i1")
        await self.clock.advance(VERDICT_MS)
        self.assertEqual(self._reason(), SERVICE_SILENT)

    async def test_upstreams_that_are_gone_are_forgotten(self) -> None:
        for number in range(4 * MAX_IDLE):
            await self._begin(f"u{number}")
            self.silent.ended(f"u{number}", USUAL_MS, was_silent=True)
            await self.clock.advance(2 * REMEMBERED_MS // MAX_IDLE)
        self.assertLessEqual(len(self.silent), MAX_IDLE)


class SilenceShareTest(unittest.IsolatedAsyncioTestCase):
    # Guards against silence that takes the repeats of calls whose upstream has ended.
    async def test_silence_leaves_a_part_of_the_budget_to_lost_answers(self) -> None:
        clock = ManualClock()

        async def borrow(service: str) -> bool:
            return False

        repeats = Repeats(
            RepeatBounds(0.2, 0, 10_000), lambda: 1, borrow, clock, random.Random(1), LONG_AGO_MS
        )
        for _ in range(1_000):
            repeats.note_request("s")
        for_silence = 0
        while repeats.has_for_silence("s"):
            self.assertTrue(repeats.spend_for_silence("s"))
            for_silence += 1
        self.assertFalse(repeats.spend_for_silence("s"))
        for_losses = 0
        while await repeats.spend("s", upstream_is_busy=False):
            for_losses += 1
        whole = for_silence + for_losses
        self.assertLessEqual(for_silence, SILENCE_SHARE * whole + 1)
        self.assertGreaterEqual(for_losses, (1 - SILENCE_SHARE) * whole - 1)

    async def test_a_repeat_that_was_not_sent_is_used_first(self) -> None:
        clock = ManualClock()

        async def borrow(service: str) -> bool:
            return False

        repeats = Repeats(
            RepeatBounds(0.0, 0, 10_000), lambda: 1, borrow, clock, random.Random(0), LONG_AGO_MS
        )
        repeats._budget("s")._rounding_offset = 0.0
        self.assertFalse(repeats.has_for_silence("s"))
        repeats.refund("s")
        self.assertTrue(repeats.spend_for_silence("s"))
        self.assertFalse(repeats.spend_for_silence("s"))


class _Send:
    """Something that answers a client."""


class ReplyLockTest(unittest.TestCase):
    # Guards against two sends that both write to one client.
    def test_one_send_holds_the_lock_until_it_is_released(self) -> None:
        taken: list[int] = []
        lock, first, second = ReplyLock(lambda: taken.append(1)), _Send(), _Send()
        lock.acquire(first)
        lock.acquire(first)
        with self.assertRaises(ReplyTaken):
            lock.acquire(second)
        self.assertTrue(lock.is_held_by(first))
        lock.release()
        lock.acquire(second)
        with self.assertRaises(ReplyTaken):
            lock.check(first)
        self.assertEqual(len(taken), 2)
